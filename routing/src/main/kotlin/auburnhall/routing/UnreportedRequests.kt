/*
 * Estimates how many requests other processes have sent that the load reports do not show yet.
 */
package auburnhall.routing

/** Tracks how long requests stay at their targets, by what they serve. Traffic thread only. */
class UnreportedRequests(
    /** Number of processes, this one included. */
    private val processes: () -> Int,
) {
    private val meanDurationMs = HashMap<String, Double>()

    /** A request was at a target of [served], a model or a plain service, for [durationMs] milliseconds. */
    fun onEnded(
        served: String,
        durationMs: Long,
    ) {
        val mean = meanDurationMs[served]
        meanDurationMs[served] = if (mean == null) durationMs.toDouble() else mean + (durationMs - mean) * WEIGHT
    }

    /** Expected number, where [inProgress] requests are known to be at all targets of [served]. */
    fun expected(
        served: String,
        inProgress: Int,
    ): Double {
        val count = processes()
        val sentPerMs = inProgress / (meanDurationMs[served] ?: DEFAULT_DURATION_MS).coerceAtLeast(1.0)
        val ageMs = if (count < FEW_PROCESSES) FEW_PROCESSES_AGE_MS else AGE_MS
        return sentPerMs * ageMs * (count - 1) / count
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
