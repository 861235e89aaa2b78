/*
 * Chooses the replicas that are closed so that their workers serve a model that is shorter of replicas. Designed for
 * demand that moves between the models, and for domains that lost members of a large replica and hold many small ones.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.Model
import auburnhall.core.Replica
import kotlin.math.ceil

/** Coverage of the models by their replicas, for the demand that is known. */
class ModelCoverage(
    private val counts: PlacementCounts,
    /** Replicas needed, by model. */
    private val needed: Map<String, Double>,
) {
    /** The replicas of [model] relative to those needed, with [more] replicas than there are. */
    fun of(
        model: Model,
        more: Int = 0,
    ): Double = (counts.totalOf(model) + more) / needed.getValue(model.name)
}

/** The replicas of a domain to close for one of [model]. */
data class Conversion(
    val replicas: List<Replica>,
    val model: Model,
)

/** Plans conversions and keeps freed workers for the model that they were freed for. Control thread only. */
class ConversionPlanner(
    private val clock: Clock,
) {
    private val begun = HashMap<String, Begun>()
    private var lastBegunAtMs = Long.MIN_VALUE

    /** The model that a domain's free workers are kept for, by domain; [closing] are those that close a replica. */
    fun reserved(closing: Set<String>): Map<String, String> {
        val now = clock.nowMs()
        begun.filterKeys { it in closing }.values.forEach { it.keptSinceMs = now }
        begun.values.removeIf { now - it.keptSinceMs >= KEEP_MS }
        return begun.mapValues { it.value.model }
    }

    /** A replica of [model] is formed in [domain], so that its workers are no longer kept. */
    fun onFormed(
        domain: String,
        model: Model,
    ) {
        if (begun[domain]?.model == model.name) begun.remove(domain)
    }

    /** Returns the replicas to close next; null if none should be. [closing] are the domains that close some now. */
    fun next(
        models: List<Model>,
        coverage: ModelCoverage,
        candidates: ConversionCandidates,
        closing: Set<String>,
    ): Conversion? {
        val now = clock.nowMs()
        val pending = begun.values.groupingBy { it.model }.eachCount()
        val short = models.minBy { coverage.of(it, pending[it.name] ?: 0) }
        val shortAfter = coverage.of(short, (pending[short.name] ?: 0) + 1)
        val isShort = coverage.of(short, pending[short.name] ?: 0) < 1 / DemandEstimate.HIGH_UTILIZATION
        if (!isShort || now < lastBegunAtMs + INTERVAL_MS) return null
        val possible = (models - short).flatMap { candidates.of(short, it) }
        return possible
            .filter { it.domain !in closing && coverage.of(it.giver, -it.replicas.size) > shortAfter }
            .filter { it.domain !in begun }
            .minWithOrNull(compareBy({ it.replicas.size }, { it.serviceMs }, { it.domain }))
            ?.let { begin(it, short, now) }
    }

    private fun begin(
        candidate: ConversionCandidate,
        model: Model,
        now: Long,
    ): Conversion {
        begun[candidate.domain] = Begun(model.name, now)
        lastBegunAtMs = now
        return Conversion(candidate.replicas, model)
    }

    private class Begun(
        val model: String,
        var keptSinceMs: Long,
    )

    private companion object {
        /** Time between conversions, so that the demand that follows the last one is counted first. */
        const val INTERVAL_MS = 2_000L

        /** Time after which freed workers are no longer kept for the model, if no replica of it could be formed. */
        const val KEEP_MS = 6_000L
    }
}

/** One way to form a replica in [domain]: after [replicas] of [giver] are closed. */
data class ConversionCandidate(
    val domain: String,
    val giver: Model,
    val replicas: List<Replica>,
    val serviceMs: Long,
)

/** Finds the replicas among the [open] ones that may be closed. */
class ConversionCandidates(
    private val open: List<Replica>,
    private val counts: PlacementCounts,
    private val free: FreeWorkers,
    private val inventory: WeightInventory,
    private val formationTime: FormationTime,
) {
    /** The ways to form a replica of [short] from those of [giver], one for each domain. */
    fun of(
        short: Model,
        giver: Model,
    ): List<ConversionCandidate> =
        open
            .filter { it.model == giver.name && it.members.all { member -> inventory.locality(member, short).isWarm } }
            .groupBy { it.head.fabricDomain.orEmpty() }
            .mapNotNull { (domain, replicas) -> inDomain(domain, replicas, short, giver) }

    private fun inDomain(
        domain: String,
        replicas: List<Replica>,
        short: Model,
        giver: Model,
    ): ConversionCandidate? {
        val warm = free.inDomain(domain).count { inventory.locality(it, short).isWarm }
        val usable = minOf(warm, counts.freeCapacity(domain))
        val closings = ceil((short.size - usable).toDouble() / giver.size).toInt()
        if (closings < 1 || closings > replicas.size) return null
        val fastest = replicas.sortedBy { serviceMs(it, short) }.take(closings)
        return ConversionCandidate(domain, giver, fastest, fastest.maxOf { serviceMs(it, short) })
    }

    private fun serviceMs(
        replica: Replica,
        short: Model,
    ) = formationTime.ofMembers(short, replica.members.map { inventory.locality(it, short) })
}
