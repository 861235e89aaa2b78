/*
 * Decides when a caller's connection is closed because the caller sends nothing, or a request too slowly. Connections
 * are many and mostly idle, so each is checked only when something can have expired.
 */
package auburnhall.http

import auburnhall.core.CallerLimits
import auburnhall.core.Clock

/** The timeouts of one connection; times are in milliseconds of the monotonic clock. */
internal class CallerTimeouts(
    private val limits: CallerLimits,
    private val clock: Clock,
) {
    private var idleSinceMs = clock.nowMs()

    /** Bytes arrived or a response ended. */
    fun onActivity() {
        idleSinceMs = clock.nowMs()
    }

    /** What has expired while no request is in progress; see [nextCheckMs] for [requestTimeoutAtMs]. */
    fun expired(requestTimeoutAtMs: Long?): ExpiredTimeout {
        val now = clock.nowMs()
        return when {
            requestTimeoutAtMs == null -> if (now > idleTimeoutAtMs()) ExpiredTimeout.IDLE else ExpiredTimeout.NONE
            now > requestTimeoutAtMs -> ExpiredTimeout.REQUEST
            else -> ExpiredTimeout.NONE
        }
    }

    /**
     * Time in milliseconds until the next check: until the request that is being received times out at
     * [requestTimeoutAtMs], or the idle connection if that is null, and not later than a request that begins only now.
     */
    fun nextCheckMs(requestTimeoutAtMs: Long?): Long {
        val dueInMs = (requestTimeoutAtMs ?: idleTimeoutAtMs()) - clock.nowMs() + 1
        val longestMs = minOf(limits.headerTimeoutMs, limits.idleTimeoutMs)
        return minOf(dueInMs, longestMs).coerceAtLeast(MIN_CHECK_MS)
    }

    private fun idleTimeoutAtMs() = idleSinceMs + limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS

    private companion object {
        /** Shortest time between two checks, for connections that wait to be closed or serve a request. */
        const val MIN_CHECK_MS = 200L

        /** Allowance for network delay: a request that is sent just within the idle timeout arrives after it. */
        const val IDLE_TIMEOUT_MARGIN_MS = 1_000L
    }
}

/** A timeout that has expired. */
internal enum class ExpiredTimeout {
    NONE,

    /** Nothing was received for too long, and no request has begun. */
    IDLE,

    /** A request that has begun was not received in time. */
    REQUEST,
}
