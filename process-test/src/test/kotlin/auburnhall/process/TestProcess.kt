/*
 * A real process of this test run: a JVM of its own on the class path of the tests.
 */
package auburnhall.process

import java.io.File
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** A started process. Its output is kept and shown when a test gives up waiting. */
class TestProcess(
    private val name: String,
    mainClass: String,
    arguments: List<String>,
) : AutoCloseable {
    private val lines = ConcurrentLinkedQueue<String>()
    private val process: Process =
        ProcessBuilder(
            listOf(JAVA) + JVM_FLAGS + listOf("-cp", System.getProperty("java.class.path"), mainClass) + arguments,
        ).redirectErrorStream(true)
            .start()

    init {
        Thread({ process.inputStream.bufferedReader().forEachLine { lines += it } }, "output of $name")
            .apply { isDaemon = true }
            .start()
    }

    val isAlive: Boolean get() = process.isAlive

    /** What the process has written, the last lines only. */
    fun output(): String = lines.toList().takeLast(SHOWN_LINES).joinToString("\n", "--- $name\n")

    /** Waits for a line that [pattern] matches and returns its first group. */
    fun await(pattern: Regex): String {
        awaitUntil("$name to write $pattern", { output() }) { lines.any { pattern.containsMatchIn(it) } }
        return lines.firstNotNullOf { pattern.find(it) }.groupValues[1]
    }

    /** Ends the process at once, as a failing machine does. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Asks the process to stop, as the platform does. */
    fun terminate() = process.destroy()

    /** Stops the process's threads until [resume]. */
    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    /** Waits for the process to end and returns its exit code. */
    fun awaitExit(): Int {
        check(process.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS)) { "$name does not end\n${output()}" }
        return process.exitValue()
    }

    override fun close() {
        process.destroyForcibly()
    }

    private fun signal(signal: String) {
        val kill = ProcessBuilder("kill", "-$signal", process.pid().toString()).start()
        check(kill.waitFor() == 0) { "cannot send $signal to $name" }
    }

    private companion object {
        val JAVA = File(System.getProperty("java.home"), "bin/java").path
        val JVM_FLAGS = listOf("-Xmx160m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
        const val SHOWN_LINES = 40
    }
}

/** Longest time that a test waits for anything; far beyond what is ever needed. */
internal const val PATIENCE_SECONDS = 120L

/** Waits until [condition] holds; gives up with [what] and [details] when it never does. */
internal fun awaitUntil(
    what: String,
    details: () -> String = { "" },
    condition: () -> Boolean,
) {
    val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS)
    while (!condition()) {
        check(System.nanoTime() < until) { "gave up waiting for $what\n${details()}" }
        java.util.concurrent.locks.LockSupport
            .parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS))
    }
}

private const val POLL_MILLIS = 100L
