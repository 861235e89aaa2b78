/*
 * Chooses the target of a request: the one with the least work for its slots, away from those that fail. Answers the
 * load of many small processes that each see only a part of the requests.
 */
package auburnhall.routing

import auburnhall.core.Address
import kotlin.random.Random

/** What a request needs of its target. */
data class TargetRequirements(
    val service: String,
    /** Null for plain services. */
    val model: String?,
    /** Targets that this request was sent to before. */
    val tried: Set<TargetKey> = emptySet(),
)

/** The choice for one request. */
sealed interface Choice {
    /** Send it to [target], which has [load] requests in progress. */
    data class Send(
        val target: Target,
        val load: Int,
    ) : Choice

    /** Every target is full; [target] has the least work. */
    data class Full(
        val target: Target,
        val load: Int,
    ) : Choice

    /** No target serves it now. */
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
    /** Chooses among [targets], which all can serve [requirements]. */
    fun choose(
        requirements: TargetRequirements,
        targets: List<Target>,
    ): Choice {
        val fresh = targets.filter { it.key !in requirements.tried }
        val healthy = fresh.filter { !health.isAvoided(it.key) }
        val pool = healthy.ifEmpty { fresh.filter { !health.isSuspect(it.key) } }.ifEmpty { fresh }
        val (slow, brisk) = pool.partition { it.key in health.slow }
        val first = least(brisk)
        return if (first is Choice.Send || slow.isEmpty()) first else orSlow(first, least(slow))
    }

    /** A slow target is better than a wait, or than none. */
    private fun orSlow(
        first: Choice,
        slow: Choice,
    ): Choice = if (first is Choice.None || slow is Choice.Send) slow else first

    private fun least(targets: List<Target>): Choice {
        val best = targets.minByOrNull { score(it) } ?: return Choice.None
        val total = load.total(best.key).requests
        return if (total < best.slots) Choice.Send(best, total) else Choice.Full(best, total)
    }

    private fun score(target: Target): Double {
        val distance = if (target.worker.dataCentre == dataCentre) 0.0 else OTHER_DATA_CENTRE
        val idle = if (hasIdleConnection(target.worker.address)) 0.0 else NEW_CONNECTION
        return (load.total(target.key).weight + distance + idle + random.nextDouble() * TIE_BREAK) / target.slots
    }

    private companion object {
        /** Requests by which a target in another data centre may be less loaded and still not be preferred. */
        const val OTHER_DATA_CENTRE = 0.5

        /** Keeps processes from all choosing the same one of equal targets. */
        const val TIE_BREAK = 0.9

        /** Requests by which a target that needs a new connection may be less loaded and still not be preferred. */
        const val NEW_CONNECTION = 0.7
    }
}
