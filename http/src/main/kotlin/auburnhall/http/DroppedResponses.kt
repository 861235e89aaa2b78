/*
 * What is dropped while the response to a call is awaited: interim responses, and late ones to earlier calls. A faulty
 * peer may send them without end, or break one off, whose missing part then is taken from the awaited response.
 */
package auburnhall.http

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.EventExecutor
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/** What is dropped during a call with the correlation [own]; [onFault] is told why the connection is to be given up. */
internal class DroppedResponses(
    own: Correlation?,
    private val executor: EventExecutor,
    private val onFault: (String) -> Unit,
) {
    /** Number of responses that were dropped. */
    var heads = 0
        private set

    /** Whether a response is being dropped. */
    var active = false
        private set
    private var bytes = 0
    private val ownId by lazy(LazyThreadSafetyMode.NONE) { own?.let { searchFor(it.value) } }
    private var limit: Future<*>? = null

    /** The head of an interim response is dropped, which has no body. */
    fun onInterim() {
        active = true
        heads++
        if (heads > MAX_HEADS) onFault("more than $MAX_HEADS interim or late responses")
    }

    /** The head of a late response is dropped, whose body has the given framing. */
    fun onLate(framing: Framing) {
        onInterim()
        if (framing == Framing.CLOSE) {
            onFault("late response without an end")
        } else {
            ownId?.reset()
            limit = executor.schedule({ onFault(NOT_ENDED) }, MAX_LATE_RESPONSE_MS, TimeUnit.MILLISECONDS)
        }
    }

    /** A part of the response that is being dropped has arrived. */
    fun onContent(content: HttpContent) {
        bytes += content.content().readableBytes()
        when {
            bytes > MAX_BYTES -> onFault("late response of more than $MAX_BYTES bytes")
            containsOwnId(content) -> onFault("late response that contains the awaited one")
            content is LastHttpContent -> stop()
        }
    }

    /** The response that is being dropped has ended, or the call has. */
    fun stop() {
        active = false
        limit?.cancel(false)
    }

    private fun containsOwnId(content: HttpContent): Boolean =
        ownId?.let { content.content().forEachByte(it) >= 0 } == true

    private companion object {
        /** A few are normal. */
        const val MAX_HEADS = 16

        /** A connection that carries more is not worth keeping. */
        const val MAX_BYTES = 1_048_576

        /** A copy of a response that was complete before arrives at once, unless it was broken off. */
        const val MAX_LATE_RESPONSE_MS = 300L
        const val NOT_ENDED = "late response that has not ended after $MAX_LATE_RESPONSE_MS ms"
    }
}
