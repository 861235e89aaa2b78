/*
 * Limits for what is dropped while the response to a call is awaited: interim responses, and late ones to earlier
 * calls. A faulty peer may send them without end.
 */
package auburnhall.http

/** What was dropped during one call; its functions return what exceeds a limit, null while nothing does. */
internal class DroppedResponses {
    /** Number of responses that were dropped. */
    var heads = 0
        private set
    private var bytes = 0

    /** The head of a response is dropped. */
    fun onHead(): String? {
        heads++
        return if (heads > MAX_HEADS) "more than $MAX_HEADS interim or late responses" else null
    }

    /** [count] bytes of the body of a response are dropped. */
    fun onContent(count: Int): String? {
        bytes += count
        return if (bytes > MAX_BYTES) "late response of more than $MAX_BYTES bytes" else null
    }

    private companion object {
        /** A few are normal. */
        const val MAX_HEADS = 16

        /** A connection that carries more is not worth keeping. */
        const val MAX_BYTES = 1_048_576
    }
}
