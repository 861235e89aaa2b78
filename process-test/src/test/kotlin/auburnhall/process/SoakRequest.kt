/*
 * What the soak's workers read of a request, and what they may do with it.
 */
package auburnhall.process

import java.net.Socket

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
