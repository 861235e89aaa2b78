/*
 * Keeps to the rate of cold workers: just started, back after their entry had lapsed, or cold by their own account.
 * Designed for the burst in which many processes find a new worker empty, which would crash it. A process sends to a
 * cold worker at its turns only; their rate is its even share of what the bound for all processes leaves after chance:
 * the turns of processes that do not know each other lie at random points in time, so that in some seconds more of them
 * coincide than on average.
 */
package auburnhall.routing

import auburnhall.core.Clock
import auburnhall.core.ColdSource
import auburnhall.core.ColdStart
import auburnhall.core.ColdState
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.Service
import kotlin.math.pow
import kotlin.math.sqrt

/** The operators' bound: a cold worker gets fewer requests in any second than its rate x [overage] + [slack]. */
data class ColdBound(
    val overage: Double,
    val slack: Double,
) {
    /**
     * Requests per second that all processes together may send to a cold worker of [start], each at turns that it may
     * use for [validMs], so that the largest number in a second stays below the bound.
     */
    internal fun rate(
        start: ColdStart,
        validMs: Long,
    ): Double {
        val most = start.requestsPerSecond * overage + slack
        // Solves mean + DEVIATIONS * sqrt(mean) = most.
        val mean = ((sqrt(DEVIATIONS * DEVIATIONS + 2 * 2 * most) - DEVIATIONS) / 2).pow(2)
        return minOf(start.requestsPerSecond, mean / (1 + validMs / MS_PER_SECOND))
    }

    private companion object {
        /**
         * Standard deviations, of a Poisson distribution, that lie between the mean number of requests in a second and
         * the bound.
         */
        const val DEVIATIONS = 3.5
        const val MS_PER_SECOND = 1_000.0
    }
}

/** What a worker stated about its coldness in a response. */
data class NamedColdness(
    val worker: TargetKey,
    /** When it ends, in milliseconds of the monotonic clock. */
    val untilMs: Long,
    /** When the worker stated it. */
    val atMs: Long,
)

/** Limits the requests of this process to cold workers. Traffic thread only, except [count]. */
class ColdWorkers(
    private val clock: Clock,
    private val share: EvenShare,
    private val bound: () -> ColdBound,
    events: EventListener,
) {
    private val states = ColdStates(clock, events) { Turns(share.phase(it), clock.nowMs(), TURN_VALID_MS) }
    private var fleet = Fleet.EMPTY

    /** Called when a worker has stated in a response that it is cold, unless that was known. */
    var onNamed: (NamedColdness) -> Unit = {}

    /** Number of cold workers. May be read on any thread. */
    @Volatile
    var count = 0
        private set

    /** Requests are served with [fleet] and [services] from now on. */
    fun onFleet(
        fleet: Fleet,
        services: Collection<Service>,
    ) {
        this.fleet = fleet
        states.onServices(services)
        fleet.cold.forEach { (id, state) -> fleet.workers[id]?.let { states.update(it, state) } }
        expire()
    }

    /** The evacuations of [dataCentres] were taken back: their workers are cold unless they state otherwise later. */
    fun onEvacuationEnded(dataCentres: Set<String>) {
        val state = ColdState(ColdSource.EVACUATION, clock.nowMs())
        fleet.workers.values
            .filter { it.dataCentre in dataCentres }
            .forEach { states.update(it, state) }
        expire()
    }

    /** The worker of [target] stated in a response that it stays cold for [remainingMs] milliseconds. */
    fun onResponse(
        target: Target,
        remainingMs: Long,
    ) {
        val now = clock.nowMs()
        val known = states.find(target.worker)?.untilMs ?: now
        if (remainingMs > 0 && now + remainingMs - known in -SAME_END_MS..SAME_END_MS) return
        val isNew = states.update(target.worker, ColdState(ColdSource.RESPONSE, now, remainingMs))
        if (isNew && remainingMs > 0) {
            onNamed(NamedColdness(TargetTable.keyOf(target.worker), now + remainingMs, now))
        }
    }

    /** Another process has reported [coldness]; ignored for a run of a worker that is not known here. */
    fun onReported(coldness: NamedColdness) {
        val worker = fleet.workers[coldness.worker.text.substringBeforeLast('@')]
        if (worker == null || TargetTable.keyOf(worker) != coldness.worker) return
        states.update(worker, ColdState(ColdSource.PEER, coldness.atMs, coldness.untilMs - coldness.atMs))
    }

    /** Time, in milliseconds, until a request may be sent to [target]; 0 if it may be sent now. */
    fun waitMs(target: Target): Long {
        val limit = limitOf(target) ?: return 0
        return minOf(limit.turns.waitMs(), limit.endMs - clock.nowMs())
    }

    /** A request is sent to [target]. */
    fun onSent(target: Target) {
        limitOf(target)?.turns?.take()
    }

    /** A request that was sent to [target] reached another worker, which refused it. */
    fun onNotReceived(target: Target) {
        limitOf(target)?.turns?.giveBack()
    }

    /** Requests per second that this process may send to the cold ones of [targets] together. */
    fun perSecond(targets: List<Target>): Double =
        if (states.isEmpty) 0.0 else targets.sumOf { limitOf(it)?.perSecond ?: 0.0 }

    /** Forgets the workers that are no longer limited; called periodically. */
    fun expire() {
        count = states.expire()
    }

    private fun limitOf(target: Target): Limit? {
        val now = clock.nowMs()
        val entry = states.find(target.worker)?.takeIf { now < it.endMs }
        return entry?.let {
            val perSecond = bound().rate(it.start, TURN_VALID_MS) * it.growth(now) * share.of(target)
            it.turns.advance(now, perSecond / MS_PER_SECOND)
            Limit(it.turns, it.endMs, perSecond)
        }
    }

    private class Limit(
        val turns: Turns,
        val endMs: Long,
        val perSecond: Double,
    )

    private companion object {
        /** Short, since turns that were saved up and those of the next second are used together in a burst. */
        const val TURN_VALID_MS = 250L

        /** Ends that differ by less are the same one, since a worker states it in each response. */
        const val SAME_END_MS = 200L
        const val MS_PER_SECOND = 1_000.0
    }
}
