/*
 * The choice of a replica for one request, out of what reports say and what this process has seen itself.
 */
package auburnhall.routing

import auburnhall.core.DataCentreId
import auburnhall.core.FleetView
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaStatus
import kotlin.math.ceil
import kotlin.random.Random

/**
 * Settings of routing.
 *
 * @property draws replicas drawn at random for each choice.
 * @property remoteCost cost of another data centre, as part of a replica's places in use.
 * @property cacheGain gain of a wholly cached prompt, in the same unit.
 * @property reportLagMillis how far the figures of a report lie before its time of arrival.
 * @property engineQueueShare requests that may wait inside a replica, as part of its capacity, so that it never runs
 *   out of work while the news of a finished request travels.
 */
data class RoutingSettings(
    val draws: Int = DRAWS,
    val remoteCost: Double = REMOTE_COST,
    val cacheGain: Double = CACHE_GAIN,
    val reportLagMillis: Long = REPORT_LAG_MILLIS,
    val engineQueueShare: Double = ENGINE_QUEUE_SHARE,
) {
    private companion object {
        const val DRAWS = 4
        const val REMOTE_COST = 0.02
        const val CACHE_GAIN = 0.25
        const val REPORT_LAG_MILLIS = 250L
        const val ENGINE_QUEUE_SHARE = 0.0
    }
}

/** What routing needs to know of a request. */
data class RouteRequest(
    val model: String,
    val prefixes: List<Int> = emptyList(),
    val excluded: Set<ReplicaId> = emptySet(),
)

/** Outcome of a choice. */
sealed interface RouteResult {
    /** The request may be sent to [replica]. */
    data class Chosen(
        val replica: ReplicaStatus,
    ) : RouteResult

    /** Replicas of the model are present, and all of them are full. */
    data object Full : RouteResult

    /** No replica of the model is present. */
    data object None : RouteResult
}

/** Chooses replicas and keeps count of this process's requests at them. Not thread-safe. */
interface Router {
    /**
     * Chooses a replica of [fleet] for [request]. Each replica may be loaded beyond its places by [extra] requests;
     * null stands for no bound at all.
     */
    fun choose(
        fleet: FleetView,
        request: RouteRequest,
        nowMillis: Long,
        extra: Int? = 0,
    ): RouteResult

    /** A request is sent to [replica]. */
    fun onStart(
        replica: ReplicaId,
        nowMillis: Long,
    )

    /** A request sent to [replica] at [startedAtMillis] ended. */
    fun onFinish(
        replica: ReplicaId,
        startedAtMillis: Long,
        nowMillis: Long,
        end: RequestEnd,
    )

    /** Forgets what is no longer part of [fleet]. */
    fun retain(fleet: FleetView)

    /** Requests of this process at all replicas. */
    val outstanding: Int
}

/** How a request ended, as far as routing is concerned. */
sealed interface RequestEnd {
    /** The replica answered with [tokensPerSecond]; 0 when that is not known. */
    data class Answered(
        val tokensPerSecond: Double,
    ) : RequestEnd

    /** The caller gave up; this says nothing of the replica. */
    data object Cancelled : RequestEnd

    /** The replica failed. */
    data object Failed : RequestEnd
}

/** Returns a [Router] of a process in [dataCentre]. */
fun Router(
    dataCentre: DataCentreId,
    random: Random,
    settings: RoutingSettings = RoutingSettings(),
    scorer: ReplicaScorer = ReplicaScorer(settings),
): Router = RealRouter(dataCentre, random, settings, scorer)

internal class RealRouter(
    private val dataCentre: DataCentreId,
    private val random: Random,
    private val settings: RoutingSettings,
    private val scorer: ReplicaScorer,
) : Router {
    private val work = OutstandingWork(settings.reportLagMillis)
    private val health = ReplicaHealth(random)

    override val outstanding: Int get() = work.total

    override fun choose(
        fleet: FleetView,
        request: RouteRequest,
        nowMillis: Long,
        extra: Int?,
    ): RouteResult {
        val usable = usable(fleet, request, nowMillis)
        if (usable.isEmpty()) return RouteResult.None
        val median = medianSpeed(usable)
        val candidates = usable.map { candidate(it, request, nowMillis, median) }
        val open = if (extra == null) candidates else candidates.filter { it.room + extra > 0 }
        return if (open.isEmpty()) RouteResult.Full else RouteResult.Chosen(scorer.choose(open, random).status)
    }

    /** Present replicas that are not ejected; all present ones when more than half are ejected. */
    private fun usable(
        fleet: FleetView,
        request: RouteRequest,
        nowMillis: Long,
    ): List<ReplicaStatus> {
        val present = fleet.replicas.filter { isPresent(it, request, nowMillis) }
        val healthy = present.filterNot { health.isEjected(it.replica.id, nowMillis) }
        return if (healthy.size * 2 >= present.size) healthy else present
    }

    override fun onStart(
        replica: ReplicaId,
        nowMillis: Long,
    ) = work.start(replica, nowMillis)

    override fun onFinish(
        replica: ReplicaId,
        startedAtMillis: Long,
        nowMillis: Long,
        end: RequestEnd,
    ) {
        work.finish(replica, startedAtMillis, nowMillis)
        when (end) {
            is RequestEnd.Answered -> health.onSuccess(replica, end.tokensPerSecond)
            RequestEnd.Cancelled -> Unit
            RequestEnd.Failed -> health.onFailure(replica, nowMillis)
        }
    }

    override fun retain(fleet: FleetView) {
        val live = fleet.replicas.mapTo(HashSet()) { it.replica.id }
        work.retain(live)
        health.retain(live)
    }

    private fun isPresent(
        status: ReplicaStatus,
        request: RouteRequest,
        nowMillis: Long,
    ) = status.replica.model == request.model &&
        !status.presentUntil.hasPassed(nowMillis) &&
        status.replica.id !in request.excluded

    private fun candidate(
        status: ReplicaStatus,
        request: RouteRequest,
        nowMillis: Long,
        medianSpeed: Double,
    ): Candidate {
        val id = status.replica.id
        val speed = speed(status)
        return Candidate(
            status = status,
            own = work.own(id),
            load = work.load(status),
            places = ceil(status.capacity * health.share(id, nowMillis)).toInt(),
            queuePlaces = ceil(status.capacity * settings.engineQueueShare).toInt(),
            cachedShare = cachedShare(status, request.prefixes),
            local = status.dataCentre == dataCentre,
            slowness = if (speed > 0 && medianSpeed > speed * STRAGGLER_FACTOR) medianSpeed / speed else 1.0,
        )
    }

    private fun medianSpeed(replicas: List<ReplicaStatus>): Double {
        val speeds = replicas.map { speed(it) }.filter { it > 0 }.sorted()
        return if (speeds.isEmpty()) 0.0 else speeds[speeds.size / 2]
    }

    private fun speed(status: ReplicaStatus): Double {
        val seen = health.speed(status.replica.id)
        return if (seen > 0) seen else status.tokensPerSecond.toDouble()
    }

    private fun cachedShare(
        status: ReplicaStatus,
        prefixes: List<Int>,
    ): Double {
        if (prefixes.isEmpty() || status.prefixes.isEmpty()) return 0.0
        val longest = prefixes.indexOfLast { it in status.prefixes }
        return (longest + 1.0) / prefixes.size
    }

    private companion object {
        const val STRAGGLER_FACTOR = 1.5
    }
}
