/*
 * Chooses the target of a request: one with little load per slot, avoiding those that fail. Designed for many small
 * processes that each see only a part of the requests.
 */
package auburnhall.routing

import auburnhall.core.Address
import kotlin.random.Random

/** Requirements of a request on its target. */
data class TargetRequirements(
    val service: String,
    /** Null for plain services. */
    val model: String?,
    /** Targets that this request has already been sent to. */
    val tried: Set<TargetKey> = emptySet(),
)

/** Routing result for one request. */
sealed interface Choice {
    /** Send the request to [target], which has [load] requests in progress. */
    data class Send(
        val target: Target,
        val load: Int,
    ) : Choice

    /** Every target is full; [target] is the least loaded one, with [load] requests in progress. */
    data class Full(
        val target: Target,
        val load: Int,
    ) : Choice

    /** Every target takes more requests only later, the first one in [waitMs] milliseconds. */
    data class Limited(
        val waitMs: Long,
    ) : Choice

    /** No target is available. */
    data object None : Choice

    /** No target is available except in evacuated data centres. */
    data object Evacuated : Choice
}

/** Chooses targets by load and health. Traffic thread only. */
class Router(
    private val load: LoadTracker,
    private val health: TargetHealth,
    private val dataCentre: String,
    private val random: Random,
    private val unreported: UnreportedRequests,
    private val hasIdleConnection: (Address) -> Boolean,
) {
    /**
     * Chooses among [targets], all of which can serve [requirements]; [waitMs] returns the time, in milliseconds, until
     * a target takes a request, 0 if it does now.
     */
    fun choose(
        requirements: TargetRequirements,
        targets: List<Target>,
        waitMs: (Target) -> Long = { 0 },
    ): Choice {
        val untried = targets.filter { it.key !in requirements.tried }
        val healthy = untried.filter { !health.isAvoided(it.key) }
        val pool = healthy.ifEmpty { untried.filter { !health.isSuspect(it.key) } }.ifEmpty { untried }
        val ready = pool.filter { waitMs(it) == 0L }
        if (ready.isEmpty() && pool.isNotEmpty()) return Choice.Limited(pool.minOf(waitMs))
        val (slow, others) = ready.partition { it.key in health.slow }
        val preferred = spread(others)
        return if (preferred is Choice.Send || slow.isEmpty()) preferred else orSlow(preferred, spread(slow))
    }

    /** Prefers a slow target with a free slot to queueing, and any slow target to none. */
    private fun orSlow(
        preferred: Choice,
        slow: Choice,
    ): Choice = if (preferred is Choice.None || slow is Choice.Send) slow else preferred

    /** Chooses among the [targets] with a free slot so that the requests of all processes spread over them. */
    private fun spread(targets: List<Target>): Choice {
        if (targets.isEmpty()) return Choice.None
        val totals = targets.map { load.total(it.key) }
        val slots = IntArray(targets.size) { targets[it].slots }
        val connected = BooleanArray(targets.size) { hasIdleConnection(targets[it].worker.address) }
        val loads = DoubleArray(targets.size) { totals[it].weight + penalty(targets[it], connected[it]) }
        val level = FillLevel(loads, slots, DoubleArray(targets.size) { preference(targets[it], connected[it]) })
        val free = targets.indices.filter { totals[it].requests < slots[it] }
        return if (free.isEmpty()) {
            val least = level.choose(targets.indices.toList().toIntArray(), 0.0, random)
            Choice.Full(targets[least], totals[least].requests)
        } else {
            val arriving = unreported.expected(targets.first().served, totals.sumOf { it.requests })
            val chosen = level.choose(free.toIntArray(), arriving * load.typicalWeight, random)
            Choice.Send(targets[chosen], totals[chosen].requests)
        }
    }

    private fun penalty(
        target: Target,
        connected: Boolean,
    ): Double {
        val distance = if (target.worker.dataCentre == dataCentre) 0.0 else OTHER_DATA_CENTRE_PENALTY
        return if (connected) distance else distance + NEW_CONNECTION_PENALTY
    }

    private fun preference(
        target: Target,
        connected: Boolean,
    ): Double {
        val near = if (target.worker.dataCentre == dataCentre) LOCAL_PREFERENCE else 1.0
        return if (connected) near * CONNECTED_PREFERENCE else near
    }

    private companion object {
        /** Of targets with room, one of the own data centre is chosen this much more often than another one. */
        const val LOCAL_PREFERENCE = 10.0

        /** As above for a target with an idle connection; a process has few of them at a time. */
        const val CONNECTED_PREFERENCE = 100.0

        /** Requests by which a target in another data centre must be less loaded than a local one to be preferred. */
        const val OTHER_DATA_CENTRE_PENALTY = 0.5

        /** Requests by which a target that needs a new connection must be less loaded to be preferred. */
        const val NEW_CONNECTION_PENALTY = 0.7
    }
}
