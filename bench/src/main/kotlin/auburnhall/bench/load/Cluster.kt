/*
 * The replicas and their lagging reports, and the faults that befall them.
 */
package auburnhall.bench.load

import auburnhall.core.DataCentreId
import auburnhall.core.FleetView
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaStatus
import kotlin.random.Random

/** How many replicas and entry processes there are, and how late their reports come. */
data class ClusterSpec(
    val replicas: Int = REPLICAS,
    val processes: Int = PROCESSES,
    val engine: EngineSpec = EngineSpec(CAPACITY, ALONE_SPEED, FULL_SPEED, CACHED_PROMPTS),
    val reportEveryMillis: Double = 1_000.0,
    val reportLagMillis: Double = 300.0,
) {
    /** Answers of [meanTokens] that all replicas together can give in a second. */
    fun answersPerSecond(meanTokens: Double) = replicas * engine.fullRate / meanTokens

    private companion object {
        const val REPLICAS = 16
        const val PROCESSES = 20
        const val CAPACITY = 32
        const val ALONE_SPEED = 40.0
        const val FULL_SPEED = 17.5
        const val CACHED_PROMPTS = 12
    }
}

/** What befalls the replicas during a run. */
sealed interface FaultPlan {
    /** Nothing. */
    data object None : FaultPlan

    /** Two replicas run at a quarter of their speed for a minute. */
    data object Stragglers : FaultPlan

    /** Two replicas die, one after the other, and come back after half a minute. */
    data object Deaths : FaultPlan

    /** All replicas of one data centre are gone for half a minute. */
    data object DarkDataCentre : FaultPlan
}

/** All replicas, and the view of them that every entry process has. */
class Cluster(
    val spec: ClusterSpec,
    private val time: VirtualTime,
    seed: Long,
) {
    private val random = Random(seed)
    private val statuses = LinkedHashMap<ReplicaId, ReplicaStatus>()
    private val listeners = ArrayList<() -> Unit>()

    val engines: List<FakeEngine> =
        List(spec.replicas) {
            FakeEngine(ReplicaId("replica-$it"), dataCentre(it), spec.engine, time)
        }
    private val byId = engines.associateBy { it.id }

    /** The view that reports have brought so far. */
    var view = FleetView()
        private set

    init {
        engines.forEach { publish(it.report(random)) }
        for (dc in 0 until DATA_CENTRES) {
            val local = engines.filter { it.dataCentre == dataCentre(dc) }
            time.every(spec.reportEveryMillis, random.nextDouble(spec.reportEveryMillis)) { poll(local) }
        }
    }

    fun engine(id: ReplicaId): FakeEngine = byId.getValue(id)

    /** Calls [listener] whenever [view] is replaced. */
    fun onView(listener: () -> Unit) {
        listeners += listener
    }

    /** Arranges for [faults] to come. */
    fun befall(faults: FaultPlan) =
        when (faults) {
            FaultPlan.None -> {
                Unit
            }

            FaultPlan.Stragglers -> {
                engines.take(2).forEach { e ->
                    time.after(FAULT_AT_MILLIS) { e.pace = STRAGGLER_PACE }
                    time.after(FAULT_AT_MILLIS + STRAGGLE_MILLIS) { e.pace = 1.0 }
                }
            }

            FaultPlan.Deaths -> {
                die(engines[0], FAULT_AT_MILLIS)
                die(engines[1], FAULT_AT_MILLIS + DEAD_MILLIS / 2)
            }

            FaultPlan.DarkDataCentre -> {
                engines.filter { it.dataCentre == dataCentre(0) }.forEach { die(it, FAULT_AT_MILLIS) }
            }
        }

    private fun die(
        engine: FakeEngine,
        atMillis: Double,
    ) {
        time.after(atMillis) { engine.kill() }
        time.after(atMillis + DEAD_MILLIS) { engine.revive() }
    }

    private fun poll(local: List<FakeEngine>) {
        val reports = local.filter { it.isAlive }.map { it.report(random) }
        time.after(spec.reportLagMillis) {
            reports.forEach { publish(it.copy(reportedAt = time.monotonicMillis())) }
            listeners.forEach { it() }
        }
    }

    private fun publish(status: ReplicaStatus) {
        statuses[status.replica.id] = status
        view = FleetView(statuses.values.toList())
    }

    companion object {
        private const val DATA_CENTRES = 3
        private const val FAULT_AT_MILLIS = 60_000.0
        private const val STRAGGLE_MILLIS = 60_000.0
        private const val DEAD_MILLIS = 30_000.0
        private const val STRAGGLER_PACE = 0.25

        /** Data centre of the replica or process number [index]. */
        fun dataCentre(index: Int) = DataCentreId("dc-${index % DATA_CENTRES}")
    }
}
