/*
 * Writes events as lines of JSON. A full queue or too many lines in a second are dropped and counted, so that logging
 * never holds up a request.
 */
package auburnhall.entry

import auburnhall.core.Event
import auburnhall.core.EventListener
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.tinylog.kotlin.Logger
import java.time.Instant
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** The log of the process [process]. Events may come from any thread. */
class EventLog(
    private val process: String,
) : EventListener {
    private val queue = ArrayBlockingQueue<Line>(CAPACITY)
    private val dropped = AtomicLong()
    private val writer = Thread(::write, "log").apply { isDaemon = true }

    /** Lines that were not written since the start. */
    val droppedLines: Long get() = dropped.get()

    /** Begins to write. */
    fun start() = writer.start()

    override fun onEvent(event: Event) {
        if (!queue.offer(Line(Instant.now(), event))) dropped.incrementAndGet()
    }

    /** Writes what waits, for at most [timeoutMs] milliseconds; called before the process ends. */
    fun flush(timeoutMs: Long) {
        val until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        while (queue.isNotEmpty() && System.nanoTime() < until) Thread.onSpinWait()
    }

    private fun write() {
        var window = 0L
        var written = 0
        var reported = 0L
        while (true) {
            val line = queue.take()
            val second = line.at.epochSecond
            if (second != window) {
                window = second
                written = 0
                if (dropped.get() > reported) {
                    reported = dropped.get()
                    Logger.info(format(Line(line.at, Event("log.dropped", null, listOf("lines" to reported)))))
                }
            }
            if (written++ < LINES_PER_SECOND) Logger.info(format(line)) else dropped.incrementAndGet()
        }
    }

    private fun format(line: Line): String =
        buildJsonObject {
            put("at", line.at.toString())
            put("process", process)
            put("event", line.event.name)
            line.event.request?.let { put("request", it) }
            line.event.details.forEach { (name, value) -> putValue(name, value) }
        }.toString()

    private fun JsonObjectBuilder.putValue(
        name: String,
        value: Any?,
    ) {
        when (value) {
            null -> Unit
            is Number -> put(name, value)
            is Boolean -> put(name, value)
            else -> put(name, value.toString())
        }
    }

    private class Line(
        val at: Instant,
        val event: Event,
    )

    private companion object {
        /** Lines that wait to be written; several seconds of a busy process. */
        const val CAPACITY = 4_096

        /** A process at its share of the peak writes some ten lines for each of about 20 requests a second. */
        const val LINES_PER_SECOND = 300
    }
}
