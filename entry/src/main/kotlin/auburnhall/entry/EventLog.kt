/*
 * Writes events to the log, one JSON object per line, on a thread of its own. Events are dropped and counted when the
 * queue is full or the rate limit is exceeded, so that logging never delays a request.
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

/** The log of the process named [process]. Events may be sent from any thread. */
class EventLog(
    private val process: String,
) : EventListener {
    private val queue = ArrayBlockingQueue<Line>(QUEUE_CAPACITY)
    private val dropped = AtomicLong()
    private val writer = Thread(::write, "log").apply { isDaemon = true }

    /** Number of lines dropped since the start. */
    val droppedLines: Long get() = dropped.get()

    /** Starts the writer thread, which writes the lines so far; further calls change nothing. */
    @Synchronized
    fun start() {
        if (writer.state == Thread.State.NEW) writer.start()
    }

    override fun onEvent(event: Event) {
        if (!queue.offer(Line(Instant.now(), event))) dropped.incrementAndGet()
    }

    /** Waits until the queue is empty, for at most [timeoutMs] milliseconds; call before the process exits. */
    fun flush(timeoutMs: Long) {
        start()
        val deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        while (queue.isNotEmpty() && System.nanoTime() < deadlineNs) Thread.onSpinWait()
    }

    private fun write() {
        var currentSecond = 0L
        var writtenInSecond = 0
        var reportedDrops = 0L
        while (true) {
            val line = queue.take()
            val second = line.at.epochSecond
            if (second != currentSecond) {
                currentSecond = second
                writtenInSecond = 0
                if (dropped.get() > reportedDrops) {
                    reportedDrops = dropped.get()
                    Logger.info(format(Line(line.at, Event("log.dropped", null, listOf("lines" to reportedDrops)))))
                }
            }
            if (writtenInSecond++ < MAX_LINES_PER_SECOND) Logger.info(format(line)) else dropped.incrementAndGet()
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
        /** Number of queued lines: several seconds of the log of a busy process. */
        const val QUEUE_CAPACITY = 4_096

        /** A process at its share of the peak load writes about ten lines for each of about 20 requests per second. */
        const val MAX_LINES_PER_SECOND = 300
    }
}
