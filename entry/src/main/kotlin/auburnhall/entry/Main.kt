/*
 * Main function of the entry process: reads the command line and the settings, starts the process and handles its
 * signals. Exits with status 2 when the command line or the settings are invalid, and with status 3 when it cannot
 * listen at an address of the settings: the platform then starts it again, which a process that stays would prevent.
 */
package auburnhall.entry

import auburnhall.platform.SettingsError
import auburnhall.platform.SettingsFile
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import sun.misc.Signal
import java.io.IOException
import kotlin.system.exitProcess

private const val RELOAD_POLL_MS = 1_000L
private const val EXIT_USAGE = 2
private const val EXIT_CANNOT_LISTEN = 3

/** Runs until SIGTERM; SIGHUP or a change of the settings file reloads the settings. */
fun main(args: Array<String>) {
    val options = parse(args)
    val process =
        SettingsFile
            .fromEnvironment(System.getenv())
            .andThen { file -> file.read().map { EntryProcess(it, file, options) } }
            .getOrElse { exitWithError(it) }
    Signal.handle(Signal("TERM")) { process.stop() }
    Signal.handle(Signal("HUP")) { process.reload("signal") }
    try {
        process.start()
    } catch (e: IOException) {
        System.err.println("auburnhall: cannot listen: ${e.message}")
        exitProcess(EXIT_CANNOT_LISTEN)
    }
    while (true) {
        Thread.sleep(RELOAD_POLL_MS)
        process.reload("file")
    }
}

private fun parse(args: Array<String>): EntryOptions {
    val options = EntryOptions()
    if (args.isEmpty()) return options
    try {
        CmdLineParser(options).parseArgument(args.asList())
    } catch (e: CmdLineException) {
        System.err.println("auburnhall: ${e.message}")
        exitProcess(EXIT_USAGE)
    }
    return options
}

private fun exitWithError(error: SettingsError): Nothing {
    System.err.println("auburnhall: settings ${error.path}: ${error.message}")
    exitProcess(EXIT_USAGE)
}
