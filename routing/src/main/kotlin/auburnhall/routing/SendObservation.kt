/*
 * How full the target of a request was known to be when the request was sent. Counted for operators, since a request
 * that reaches a full target waits there while others may have free slots.
 */
package auburnhall.routing

/** The known load of a target when a request is sent to it. */
data class SendObservation(
    /** Requests in progress, over all processes, as a part of the slots. */
    val loadPerSlot: Double,
    /** The same of the least loaded target that could have served the request. */
    val leastLoadPerSlot: Double,
) {
    /** Whether the target had no free slot. */
    val full: Boolean get() = loadPerSlot >= 1

    /** Whether another target had much more room. */
    val uneven: Boolean get() = loadPerSlot - leastLoadPerSlot >= UNEVEN_SHARE

    companion object {
        /** Part of the slots by which a target is much fuller than another one. */
        const val UNEVEN_SHARE = 0.25

        /** Observes a request that is being sent to [target], one of [pool]. */
        fun of(
            load: LoadTracker,
            target: Target,
            pool: List<Target>,
        ): SendObservation {
            val perSlot = { each: Target -> load.total(each.key).requests.toDouble() / each.slots }
            val own = perSlot(target)
            return SendObservation(own, pool.minOfOrNull(perSlot) ?: own)
        }
    }
}
