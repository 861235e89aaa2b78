/*
 * Weight loads from the weight store that run now, and when each is expected to end. Designed for a fleet that gets new
 * workers without weights every few seconds: loads beyond the number that run at full speed slow all others down.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.EngineProfile
import auburnhall.core.Model
import auburnhall.core.Worker
import kotlin.math.abs

/** Records the loads that this controller has ordered. Control thread only. */
class RunningLoads(
    private val clock: Clock,
) {
    private val endsAtMs = HashMap<Pair<WorkerIncarnation, String>, Long>()

    /** Number of loads that run. */
    val count: Int get() = endsAtMs.size

    /** [worker] starts to load [model] now; [accelerated] before the first request, when loads take a tenth. */
    fun begin(
        worker: Worker,
        model: Model,
        engine: EngineProfile,
        accelerated: Boolean,
    ) {
        val loadMs = FormationTime.coldLoadMs(model, engine, count + 1)
        val expectedMs = if (accelerated) loadMs / ACCELERATION else loadMs
        endsAtMs[worker.incarnation to model.name] = clock.nowMs() + expectedMs
    }

    /**
     * Time in milliseconds until [worker] is expected to have [model]; null when it does not load it. A load that is
     * overdue is expected to take as long again as it is overdue.
     */
    fun remainingMs(
        worker: Worker,
        model: String,
    ): Long? = endsAtMs[worker.incarnation to model]?.let { abs(it - clock.nowMs()) }

    /** Removes the loads of workers that are not among [workers], have the weights, or were to have them long ago. */
    fun update(workers: List<Worker>) {
        val listed = workers.associateBy { it.incarnation }
        val overdue = clock.nowMs() - OVERDUE_MS
        endsAtMs.entries.removeIf { (load, endsAtMs) ->
            val worker = listed[load.first]
            worker == null || worker.hasWeights(load.second) || endsAtMs < overdue
        }
    }

    private fun Worker.hasWeights(model: String) =
        model in stagedModels || model in loadedModels || isReadyFor(this, model)

    private companion object {
        /** Loads before the first request are this many times as fast. */
        const val ACCELERATION = 10

        /** After this time beyond its expected end, a load counts as failed, so that it may be ordered again. */
        const val OVERDUE_MS = 5_000L
    }
}
