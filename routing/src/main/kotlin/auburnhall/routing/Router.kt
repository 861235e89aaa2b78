/*
 * Chooses the target of a request: the one with the least load per slot, avoiding those that fail. Designed for many
 * small processes that each see only a part of the requests.
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

    /** No target is available. */
    data object None : Choice
}

/** Chooses targets by load and health. Traffic thread only. */
class Router(
    private val load: LoadTracker,
    private val health: TargetHealth,
    private val dataCentre: String,
    private val random: Random,
    private val hasIdleConnection: (Address) -> Boolean,
) {
    /** Chooses among [targets], all of which can serve [requirements]. */
    fun choose(
        requirements: TargetRequirements,
        targets: List<Target>,
    ): Choice {
        val untried = targets.filter { it.key !in requirements.tried }
        val healthy = untried.filter { !health.isAvoided(it.key) }
        val pool = healthy.ifEmpty { untried.filter { !health.isSuspect(it.key) } }.ifEmpty { untried }
        val (slow, others) = pool.partition { it.key in health.slow }
        val preferred = leastLoaded(others)
        return if (preferred is Choice.Send || slow.isEmpty()) preferred else orSlow(preferred, leastLoaded(slow))
    }

    /** Prefers a slow target with a free slot to queueing, and any slow target to none. */
    private fun orSlow(
        preferred: Choice,
        slow: Choice,
    ): Choice = if (preferred is Choice.None || slow is Choice.Send) slow else preferred

    private fun leastLoaded(targets: List<Target>): Choice {
        val best = targets.minByOrNull { score(it) } ?: return Choice.None
        val total = load.total(best.key).requests
        return if (total < best.slots) Choice.Send(best, total) else Choice.Full(best, total)
    }

    private fun score(target: Target): Double {
        val distance = if (target.worker.dataCentre == dataCentre) 0.0 else OTHER_DATA_CENTRE_PENALTY
        val connection = if (hasIdleConnection(target.worker.address)) 0.0 else NEW_CONNECTION_PENALTY
        return (load.total(target.key).weight + distance + connection + random.nextDouble() * TIE_BREAK) / target.slots
    }

    private companion object {
        /** Requests by which a target in another data centre must be less loaded than a local one to be preferred. */
        const val OTHER_DATA_CENTRE_PENALTY = 0.5

        /** Random load, in requests, that keeps processes from all choosing the same one of equal targets. */
        const val TIE_BREAK = 0.9

        /** Requests by which a target that needs a new connection must be less loaded to be preferred. */
        const val NEW_CONNECTION_PENALTY = 0.7
    }
}
