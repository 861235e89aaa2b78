/*
 * Requests that arrive while this process stops: those that it cannot serve whole are refused.
 */
package auburnhall.gateway

/** A stop of this process; times are in milliseconds of the monotonic clock. */
data class ProcessStop(
    /** Until when callers connect that do not know of the stop, whose requests are all taken. */
    val takesAllUntilMs: Long,
    /** When requests that are still in progress are ended. */
    val endsAtMs: Long,
)

/** Refuses requests that come late in a stop and may not end before it does; other processes can serve them whole. */
internal class StopFilter(
    private val stop: () -> ProcessStop?,
) : RequestFilter {
    override fun check(
        context: FilterContext,
        next: (FilterContext) -> FilterResult,
    ): FilterResult {
        val current = stop() ?: return next(context)
        val late = context.request.receivedAt > current.takesAllUntilMs && context.deadlineMs > current.endsAtMs
        return if (late) FilterResult.Refuse(UNAVAILABLE, "process stops", RETRY_AFTER_MS) else next(context)
    }

    private companion object {
        /** Other processes serve the request at once. */
        const val RETRY_AFTER_MS = 50L
    }
}
