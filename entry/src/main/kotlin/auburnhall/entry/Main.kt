/*
 * Entry point of the entry process.
 */
package auburnhall.entry

import com.github.michaelbull.result.mapBoth
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val BAD_USAGE = 2

/** Reads the settings, serves until SIGTERM, and stops gracefully. */
fun main(args: Array<String>) {
    parseSettings(args.toList(), System.getenv()).mapBoth(::run, ::refuse)
}

private fun run(settings: EntrySettings) {
    System.setProperty("tinylog.level@auburnhall", settings.logLevel)
    val process = EntryProcess(settings)
    val stopRequested = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(Thread({ process.stop() }, "stop"))
    process.start(stopRequested::countDown)
    println("auburnhall serves at ${process.callerAddress}")
    stopRequested.await()
    exitProcess(0)
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
