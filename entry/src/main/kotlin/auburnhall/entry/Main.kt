/*
 * Entry point of the entry process.
 */
package auburnhall.entry

import com.github.michaelbull.result.mapBoth
import org.tinylog.kotlin.Logger
import kotlin.system.exitProcess

private const val BAD_USAGE = 2

/** Reads the settings, serves until SIGTERM, and stops gracefully. */
fun main(args: Array<String>) {
    parseSettings(args.toList(), System.getenv()).mapBoth(::run, ::refuse)
}

private fun run(settings: EntrySettings) {
    System.setProperty("tinylog.level@auburnhall", settings.logLevel)
    val process = EntryProcess(settings)
    Runtime.getRuntime().addShutdownHook(Thread({ process.stop() }, "stop"))
    process.start()
    Logger.info("auburnhall is up at {}", process.callerAddress)
    Thread.currentThread().join()
}

private fun refuse(problem: SettingsProblem) {
    when (problem) {
        is SettingsProblem.Help -> println(problem.text)
        is SettingsProblem.Invalid -> {
            System.err.println("auburnhall: ${problem.message}")
            exitProcess(BAD_USAGE)
        }
    }
}
