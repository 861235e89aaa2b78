/*
 * The command-line tool auburnhallctl, with which operators explain requests from logs and check settings files.
 */
package auburnhall.ctl

import auburnhall.platform.SettingsFile
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.io.IOException
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val OK = 0
private const val FAILED = 1
private const val USAGE = 2
private const val HELP = """usage: auburnhallctl explain REQUEST LOG...   explain the outcome of a request from logs
       auburnhallctl check SETTINGS            validate a settings file"""

/** Runs a command and exits with 0 when it succeeded, 1 when it failed, 2 for wrong usage. */
fun main(args: Array<String>): Unit = exitProcess(run(args, System.out, System.err))

/** Runs the command in [args]; returns its exit code. */
internal fun run(
    args: Array<String>,
    out: PrintStream,
    err: PrintStream,
): Int {
    val options = CtlOptions()
    try {
        CmdLineParser(options).parseArgument(args.asList())
    } catch (e: CmdLineException) {
        err.println("auburnhallctl: ${e.message}\n$HELP")
        return USAGE
    }
    val arguments = options.arguments
    return when {
        options.command == "explain" && arguments.size >= 2 -> explain(arguments.first(), arguments.drop(1), out, err)
        options.command == "check" && arguments.size == 1 -> check(arguments.first(), out, err)
        else -> USAGE.also { err.println(HELP) }
    }
}

private fun explain(
    request: String,
    files: List<String>,
    out: PrintStream,
    err: PrintStream,
): Int {
    val lines =
        try {
            files.flatMap { Files.readAllLines(Path.of(it)) }
        } catch (e: IOException) {
            err.println("auburnhallctl: cannot read ${e.message}")
            return FAILED
        }
    val explanation = Explanation(request, lines.mapNotNull { LogLine.parse(it) })
    explanation.text().forEach(out::println)
    return if (explanation.found) OK else FAILED
}

private fun check(
    file: String,
    out: PrintStream,
    err: PrintStream,
): Int {
    val settings = SettingsFile(Path.of(file)).read()
    if (settings.isErr) {
        err.println("auburnhallctl: ${settings.error.path}: ${settings.error.message}")
        return FAILED
    }
    out.println("usable: process ${settings.value.processName} in ${settings.value.dataCentre}")
    return OK
}
