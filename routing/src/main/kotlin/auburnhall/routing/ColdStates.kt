/*
 * Which workers are cold until when. The signs of a worker's coldness reach a process on several ways, some of them
 * late and more than once; the one that was read last holds. The limit of a worker does not end at once with its cold
 * time but grows for a while, so that load returns by a ramp.
 */
package auburnhall.routing

import auburnhall.core.Clock
import auburnhall.core.ColdStart
import auburnhall.core.ColdState
import auburnhall.core.EventListener
import auburnhall.core.Service
import auburnhall.core.Worker
import auburnhall.core.log

/** Keeps the latest sign of each worker; [turnsOf] makes the turns of one that becomes cold. Traffic thread only. */
internal class ColdStates(
    private val clock: Clock,
    private val events: EventListener,
    private val turnsOf: (TargetKey) -> Turns,
) {
    private val byWorker = HashMap<TargetKey, ColdEntry>()
    private var starts: Map<String, ColdStart> = emptyMap()

    val isEmpty: Boolean get() = byWorker.isEmpty()

    /** Replaces the cold times and rates by those of [services]. */
    fun onServices(services: Collection<Service>) {
        starts = services.mapNotNull { service -> service.coldStart?.let { service.name to it } }.toMap()
    }

    /** The state of [worker]; null if it has not been cold recently. */
    fun find(worker: Worker): ColdEntry? = if (isEmpty) null else byWorker[TargetTable.keyOf(worker)]

    /** Keeps [state] of [worker] unless a newer one is known; returns whether it was new. */
    fun update(
        worker: Worker,
        state: ColdState,
    ): Boolean {
        val start = starts[worker.service]
        val known = find(worker)
        val untilMs = state.sinceMs + (state.remainingMs ?: start?.durationMs ?: 0)
        val isNew = if (known == null) clock.nowMs() < untilMs else known.statedAtMs < state.sinceMs
        if (start == null || !isNew) return false
        logCold(worker, state, untilMs)
        val entry = known ?: ColdEntry(worker.service, turnsOf(TargetTable.keyOf(worker)))
        byWorker[TargetTable.keyOf(worker)] = entry
        entry.restate(state, untilMs, start)
        return true
    }

    /** Forgets the workers that are no longer limited; returns the number of cold ones. */
    fun expire(): Int {
        val now = clock.nowMs()
        byWorker.values.removeIf { now >= it.forgetMs || it.service !in starts }
        return byWorker.values.count { it.isCold(now) }
    }

    /** Logs that [worker] becomes cold, unless it is already. */
    private fun logCold(
        worker: Worker,
        state: ColdState,
        untilMs: Long,
    ) {
        val now = clock.nowMs()
        if (now >= untilMs || find(worker)?.isCold(now) == true) return
        events.log(
            "worker.cold",
            "worker" to TargetTable.keyOf(worker).text,
            "source" to state.source.name.lowercase(),
            "remaining_ms" to untilMs - now,
        )
    }
}

/** A worker that is or was recently cold. */
internal class ColdEntry(
    val service: String,
    val turns: Turns,
) {
    var statedAtMs = 0L
        private set
    var untilMs = 0L
        private set

    /** When its requests are no longer limited. */
    var endMs = 0L
        private set

    /** Until then, older signs may still say that it is cold. */
    var forgetMs = 0L
        private set

    /** The cold time and rate of its service. */
    lateinit var start: ColdStart
        private set

    /** A worker that states that it is not cold any more is no longer limited at all. */
    fun restate(
        state: ColdState,
        endsAtMs: Long,
        start: ColdStart,
    ) {
        this.start = start
        statedAtMs = state.sinceMs
        untilMs = endsAtMs
        endMs = if (state.remainingMs == 0L) endsAtMs else endsAtMs + rampMs
        forgetMs = maxOf(forgetMs, endMs)
    }

    fun isCold(now: Long) = now < untilMs

    /** Factor of its rate at [now]: 1 while it is cold, then growing until the limit ends. */
    fun growth(now: Long): Double = 1 + RAMP_GROWTH * (now - untilMs).coerceAtLeast(0) / rampMs

    private val rampMs: Long get() = (start.durationMs / RAMP_PART).coerceAtLeast(1)

    private companion object {
        /** The rate grows for this part of the cold time after its end. */
        const val RAMP_PART = 3

        /** Growth of the rate until then. */
        const val RAMP_GROWTH = 7.0
    }
}
