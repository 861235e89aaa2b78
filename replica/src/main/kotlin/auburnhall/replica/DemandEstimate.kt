/*
 * How many replicas of each model its callers need. Designed for demand that moves between the models within a day
 * while every slot is taken: counts are smoothed, since requests come in bursts, and used only where a model is short.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.EngineProfile
import auburnhall.core.ModelDemand
import kotlin.math.exp

/** Smooths the counted demand. Control thread only. */
class DemandEstimate(
    private val clock: Clock,
) {
    private val requests = HashMap<String, Double>()
    private var countedAtMs = Long.MIN_VALUE

    /** The demand by model, as last counted. */
    var counted: Map<String, ModelDemand> = emptyMap()
        private set

    /** The demand is [demand] now. */
    fun update(demand: Map<String, ModelDemand>) {
        val now = clock.nowMs()
        val weight = if (isKnown(now)) 1 - exp(-(now - countedAtMs) / SMOOTHING_MS) else 1.0
        requests.keys.retainAll(demand.keys)
        for ((model, count) in demand) {
            val current = (count.slotsInUse + count.waiting).toDouble()
            requests[model] = requests[model]?.let { it + (current - it) * weight } ?: current
        }
        counted = demand
        countedAtMs = now
    }

    /**
     * The replicas needed by model; null while the demand is not known, or while every model has slots to spare, so
     * that the shares of the configuration apply.
     */
    fun needed(engine: EngineProfile): Map<String, Double>? {
        val known = isKnown(clock.nowMs()) && engine.models.all { it.name in requests }
        if (!known || engine.models.size < 2) return null
        val short = engine.models.any { requests.getValue(it.name) > slotsOf(it.name) * HIGH_UTILIZATION }
        return if (short) engine.models.associate { it.name to needed(it.name, engine) } else null
    }

    private fun needed(
        model: String,
        engine: EngineProfile,
    ) = maxOf(requests.getValue(model) / engine.slots, MIN_NEEDED)

    private fun slotsOf(model: String) = counted[model]?.slots ?: 0

    private fun isKnown(now: Long) = counted.isNotEmpty() && now - countedAtMs < STALE_MS

    companion object {
        /** Share of the slots in use beyond which a model has none to spare. */
        const val HIGH_UTILIZATION = 0.85

        /** Counts contribute less after this time: longer than a burst, shorter than a request of a caller waits. */
        private const val SMOOTHING_MS = 2_000.0

        /** Several periods in which the demand is counted. */
        private const val STALE_MS = 3_000L

        /** Each model keeps a replica, so that its callers are served when their demand returns. */
        private const val MIN_NEEDED = 1.0
    }
}
