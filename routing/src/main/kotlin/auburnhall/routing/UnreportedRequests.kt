/*
 * Estimates how many requests other processes have sent that the load reports do not show yet.
 */
package auburnhall.routing

/** Tracks how long requests stay at their targets, by what they serve. Traffic thread only. */
class UnreportedRequests(
    private val processes: () -> Int,
) {
    private val durationsMs = HashMap<String, MeanDuration>()

    /** Number of processes, this one included. */
    val processCount: Int get() = processes()

    /** A request was at a target of [served], a model or a plain service, for [durationMs] milliseconds. */
    fun onEnded(
        served: String,
        durationMs: Long,
    ) {
        durationsMs.getOrPut(served) { MeanDuration() }.add(durationMs)
    }

    /** Mean time, in milliseconds, for which requests are at their target; at least 1. */
    fun meanDurationMs(served: String): Double =
        (durationsMs[served]?.valueMs ?: DEFAULT_DURATION_MS).coerceAtLeast(1.0)

    /** Expected number, where [inProgress] requests are known to be at all targets of [served]. */
    fun expected(
        served: String,
        inProgress: Int,
    ): Double {
        val count = processes()
        val sentPerMs = inProgress / meanDurationMs(served)
        val ageMs = if (count < FEW_PROCESSES) FEW_PROCESSES_AGE_MS else AGE_MS
        return sentPerMs * ageMs * (count - 1) / count
    }

    /** A moving average; the first few requests count as much as the default, since one alone says little. */
    private class MeanDuration {
        var valueMs = DEFAULT_DURATION_MS
            private set
        private var count = 1

        fun add(durationMs: Long) {
            count++
            valueMs += (durationMs - valueMs) * maxOf(WEIGHT, 1.0 / count)
        }
    }

    private companion object {
        /** Weight of the latest request in the moving average. */
        const val WEIGHT = 0.1

        /** A stream of ordinary length, before the first request has ended. */
        const val DEFAULT_DURATION_MS = 1_000.0

        /** Time from sending a request until most processes know of it, with reports by way of collectors. */
        const val AGE_MS = 150.0

        /** As above, where there are so few processes that they report more often. */
        const val FEW_PROCESSES_AGE_MS = 50.0
        const val FEW_PROCESSES = 32
    }
}
