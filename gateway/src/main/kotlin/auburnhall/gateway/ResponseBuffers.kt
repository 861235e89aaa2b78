/*
 * Limits on the bytes of workers' responses that a process holds in memory. A faulty worker may send bytes without end,
 * to many requests at once, and a caller may be slow to read; neither may use up the memory that all requests share.
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

        /** First bytes of each response, for which there is always room, so that long ones do not fail short ones. */
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
        val target = if (released) counted else (bytes - ResponseBuffers.FREE_BYTES).coerceAtLeast(0)
        val fits = target <= counted || all.tryHold(target - counted)
        if (target < counted) all.release(counted - target)
        if (fits) counted = target
        return fits
    }

    /** As [hold], with at most [limit] bytes; returns which limit [part] of the response exceeds, null for none. */
    fun exceeded(
        bytes: Int,
        limit: Int,
        part: String,
    ): String? =
        when {
            bytes > limit -> "$part of more than $limit bytes"
            !hold(bytes) -> "$part of $bytes bytes, while all responses together hold ${all.heldBytes} bytes"
            else -> null
        }

    /** The response's bytes are no longer held; further calls do nothing. */
    fun release() {
        if (released) return
        released = true
        all.release(counted)
    }
}
