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
import io.netty.util.internal.logging.InternalLoggerFactory
import io.netty.util.internal.logging.JdkLoggerFactory
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import sun.misc.Signal
import java.io.IOException
import java.util.logging.Level
import java.util.logging.Logger
import kotlin.system.exitProcess

private const val RELOAD_POLL_MS = 1_000L
private const val EXIT_USAGE = 2
private const val EXIT_CANNOT_LISTEN = 3

/** Kept, since the level of a logger that nothing refers to is lost. */
private val nettyLogger: Logger = Logger.getLogger("io.netty")

/** Runs until SIGTERM; SIGHUP or a change of the settings file reloads the settings. */
fun main(args: Array<String>) {
    useJdkLogging()
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

/**
 * Netty's own warnings go to standard error. Its default is the library that writes the log, which would be loaded for
 * it before the first request.
 */
private fun useJdkLogging() {
    nettyLogger.level = Level.WARNING
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE)
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
