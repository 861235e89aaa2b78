/*
 * The comparison of replicas. It is a pure function of what is known of each, so that alternatives can be measured side
 * by side.
 */
package auburnhall.routing

import auburnhall.core.ReplicaStatus
import kotlin.random.Random

/**
 * A replica that may be chosen for one request.
 *
 * @property own requests of this process there.
 * @property load estimated requests of all processes there.
 * @property places requests that it runs at once, less what a slow return takes off.
 * @property queuePlaces requests that may wait inside the replica.
 * @property cachedShare part of the prompt's hashed prefix that the replica says it caches, 0 to 1.
 * @property local whether it is in this process's data centre.
 * @property slowness median speed of all candidates over the speed of this one, when it is much slower; 1 otherwise.
 */
data class Candidate(
    val status: ReplicaStatus,
    val own: Int,
    val load: Int,
    val places: Int,
    val queuePlaces: Int,
    val cachedShare: Double,
    val local: Boolean,
    val slowness: Double,
) {
    /** Requests that may still be sent there. */
    val room: Int get() = places + queuePlaces - load
}

/** Chooses one of several replicas. */
fun interface ReplicaScorer {
    /** Returns one of [candidates], which are never empty. */
    fun choose(
        candidates: List<Candidate>,
        random: Random,
    ): Candidate
}

/** Returns the [ReplicaScorer] of the product. */
fun ReplicaScorer(settings: RoutingSettings = RoutingSettings()): ReplicaScorer = RealReplicaScorer(settings)

/**
 * Takes the cheapest of a few replicas drawn at random and of the one that caches most of the prompt. The draw keeps
 * processes that read the same report from all choosing the same replica.
 */
internal class RealReplicaScorer(
    private val settings: RoutingSettings,
) : ReplicaScorer {
    override fun choose(
        candidates: List<Candidate>,
        random: Random,
    ): Candidate {
        var best = candidates[random.nextInt(candidates.size)]
        repeat(settings.draws - 1) {
            best = cheaper(best, candidates[random.nextInt(candidates.size)])
        }
        val cached = candidates.maxBy { it.cachedShare }
        return if (cached.cachedShare > 0) cheaper(best, cached) else best
    }

    private fun cheaper(
        a: Candidate,
        b: Candidate,
    ): Candidate = if (cost(b) < cost(a)) b else a

    private fun cost(candidate: Candidate): Double {
        val use = (candidate.load + 1.0) / candidate.places.coerceAtLeast(1) * candidate.slowness
        val distance = if (candidate.local) 0.0 else settings.remoteCost
        return use + distance - settings.cacheGain * candidate.cachedShare
    }
}
