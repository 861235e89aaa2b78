/*
 * What the soak's workers read of a request, and what they may do with it.
 */
package auburnhall.process

import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** What a worker does with one request. */
enum class Conduct { SOUND, COPY, FAIL, REFUSE, BREAK_OFF, RESET, STALL, CLOSE }

/** What a worker reads of a request. */
class SoakRequest(
    val head: String,
) {
    private val path = head.lineSequence().first().split(' ')[1]
    private val parts = path.split('/')
    val id = ScriptedOrders.header(head, "attempt-id").orEmpty()
    val route = SoakRoute.entries.firstOrNull { path.startsWith(it.prefix) }
    val delayMs = parts.getOrNull(2)?.toLongOrNull() ?: 0L
    val size = parts.getOrNull(3)?.toIntOrNull() ?: 0
    val firstEvent = (ScriptedOrders.header(head, "last-event-id")?.toIntOrNull() ?: 0) + 1
}

/** The time for which a worker is cold, from its start and whenever it begins again. */
class ColdTime {
    @Volatile
    private var untilNanos = 0L

    init {
        begin()
    }

    val remainingMs: Long get() = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime()).coerceAtLeast(0)

    /** The header with which a response states it. */
    val header: String get() = "Cold-Remaining: ${remainingMs / MS_PER_SECOND}\r\n"

    /** The worker is cold from now on. */
    fun begin() {
        untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ColdRate.DURATION_MS)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}

/** Event [number] of the stream that answers [id]. */
fun soakEvent(
    id: String,
    number: Int,
) = "id: $number\ndata: $id/$number\n\n"

/** [text] as a chunk of a body. */
internal fun chunk(text: String) = "${text.length.toString(radix = 16)}\r\n$text\r\n"

/** Closes with a reset. */
internal fun Socket.resetAndClose() {
    setSoLinger(true, 0)
    close()
}

/** A copy of the answer [text], in part or whole, with or without its id. */
internal fun strayCopy(
    text: String,
    random: Random,
): ByteArray {
    val withId = if (random.nextBoolean()) text else text.replace(Regex("Attempt-Id: .*\r\n"), "")
    val length = if (random.nextBoolean()) withId.length else random.nextInt(1, withId.length)
    return withId.take(length).toByteArray(Charsets.ISO_8859_1)
}
