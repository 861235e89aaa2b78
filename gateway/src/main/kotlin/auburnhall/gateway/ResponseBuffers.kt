/*
 * Limits on the bytes of workers' responses that a process holds in memory. A faulty worker may send bytes without end, to
 * many requests at once, and a caller may be slow to read; neither may use up the memory that all requests share.
 */
package auburnhall.gateway

/** The bytes of all responses that are held now. Traffic thread only. */
class ResponseBuffers {
    /** Bytes held beyond the first [FREE_BYTES] of each response. */
    var heldBytes = 0L
        private set

    /** Opens the account of one response. */
    fun open(): ResponseBuffer = ResponseBuffer(this)

    internal fun tryHold(bytes: Long): Boolean {
        if (heldBytes + bytes > MAX_TOTAL_BYTES) return false
        heldBytes += bytes
        return true
    }

    internal fun release(bytes: Long) {
        heldBytes -= bytes
    }

    companion object {
        /** Longest body of a response that is passed on as a whole. */
        const val MAX_BODY_BYTES = 4_194_304

        /** Longest event of a stream. */
        const val MAX_EVENT_BYTES = 1_048_576

        /** Most bytes of all responses together, beyond the first ones of each; a small part of the heap. */
        const val MAX_TOTAL_BYTES = 16_777_216L

        /** First bytes of each response, for which there is always room, so that long responses do not fail short ones. */
        const val FREE_BYTES = 65_536L
    }
}

/** The bytes of one response that are held. Traffic thread only. */
class ResponseBuffer internal constructor(
    private val all: ResponseBuffers,
) {
    private var counted = 0L
    private var released = false

    /** Records that the response now holds [bytes]; false if all responses together would hold too many. */
    fun hold(bytes: Int): Boolean {
        val target = (bytes - ResponseBuffers.FREE_BYTES).coerceAtLeast(0)
        if (released) return true
        if (target > counted && !all.tryHold(target - counted)) return false
        if (target < counted) all.release(counted - target)
        counted = target
        return true
    }

    /** The response's bytes are no longer held; further calls do nothing. */
    fun release() {
        if (released) return
        released = true
        all.release(counted)
    }
}
