/*
 * How many loads from the weight store may start now: the store limits the loads that start in a second, and loads
 * beyond the number that run at full speed slow all others down. Formations and spares come before staging.
 */
package auburnhall.replica

import auburnhall.core.EngineProfile
import auburnhall.core.Model
import auburnhall.core.Worker

/** Counts loads and says how many more may start. Control thread only. */
class LoadBudget(
    private val context: ControllerContext,
    private val formations: FormationManager,
    private val availability: WorkerAvailability,
) {
    private val limiter = WeightLoadLimiter(context.clock, tookOver = !context.term.firstStart)
    private val running = RunningLoads(context.clock)

    /** Number of loads that run. */
    val runningCount: Int get() = running.count

    /** Applies the list of [workers]. */
    fun update(workers: List<Worker>) = running.update(workers)

    /** [worker] starts to load [model] now. */
    fun begin(
        worker: Worker,
        model: Model,
        engine: EngineProfile,
    ) {
        limiter.onLoadStarted()
        running.begin(worker, model, engine, accelerated = availability.loadsUnlimited)
    }

    /** Whether [worker] loads [model] now. */
    fun isLoading(
        worker: Worker,
        model: Model,
    ): Boolean = running.remainingMs(worker, model.name) != null

    /** Number of loads for formations and spares that may start now. */
    fun forSpares(engine: EngineProfile): Int =
        if (availability.loadsUnlimited) Int.MAX_VALUE else limiter.permits(engine.coldLoadsPerSecond).coerceAtLeast(0)

    /** Number of loads that may start now to stage models. */
    fun forStaging(engine: EngineProfile): Int {
        if (availability.loadsUnlimited) return Int.MAX_VALUE
        val concurrent = (engine.coldLoadsAtFullSpeed * STAGING_SHARE).toInt() - running.count
        return minOf(concurrent, forSpares(engine)).coerceAtLeast(0)
    }

    /** Loads of [model] that spares and free workers of [domain] carry out now. */
    fun pending(
        domain: String,
        model: Model,
    ): List<PendingLoad> {
        val spares = formations.all.filter { it.spare && it.model == model.name }.map { it.head }
        val staging = availability.lastFree.filter { isLoading(it, model) }
        val stagedExtraMs = model.warmLoadMs - FormationTime.REJOIN_MS
        return spares.inDomain(domain).map { PendingLoad(it, loadMs(it, model)) } +
            staging.inDomain(domain).map { PendingLoad(it, loadMs(it, model) + stagedExtraMs) }
    }

    private fun List<Worker>.inDomain(domain: String) = filter { it.fabricDomain.orEmpty() == domain }

    private fun loadMs(
        worker: Worker,
        model: Model,
    ) = running.remainingMs(worker, model.name) ?: model.warmLoadMs

    private companion object {
        /** Share of the loads that run at full speed up to which hosts are staged; the rest is left to formations. */
        const val STAGING_SHARE = 0.75
    }
}
