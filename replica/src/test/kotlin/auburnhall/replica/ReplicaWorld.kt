/*
 * Entry processes with their table controllers and fleet views over shared fakes of the store and the engines.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.ChangeRecord
import auburnhall.core.Configuration
import auburnhall.core.DataCentreId
import auburnhall.core.DrainList
import auburnhall.core.DrainRequest
import auburnhall.core.InstanceId
import auburnhall.core.ListedInstance
import auburnhall.core.ModelSpec
import auburnhall.core.ProcessId
import auburnhall.core.UsageList
import auburnhall.membership.Member
import auburnhall.membership.MembershipView
import auburnhall.store.ABSENT
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import auburnhall.store.StoreEntry
import auburnhall.store.WatchListener
import auburnhall.test.FakeClock
import auburnhall.test.FakeControlLoop
import auburnhall.test.FakeKeyValueStore
import auburnhall.test.StoreFault
import kotlinx.serialization.json.Json
import kotlin.random.Random

internal val DC = DataCentreId("dc1")

/** One entry process. */
internal class FakeProcess(
    name: String,
    private val world: ReplicaWorld,
) {
    val member = Member(ProcessId(name), InstanceId("entry-$name"), DC, "$name:1", "$name:2")
    val loop = FakeControlLoop(world.clock)
    val engineFaults = EngineFaults()
    var storeFault: () -> StoreFault = { StoreFault.NONE }
    var isRunning = true
    var isPaused = false
    private val store = world.store.client { storeFault() }
    private val engines = world.engines.Client(member.process, engineFaults)
    private val environment = ReplicaEnvironment(store, engines, loop, world.clock, Random(world.seed))
    val controller = TableController(DC, member.process, environment)
    val fleet = FleetViewController(world.clock)
    private var watching = false

    val isUp: Boolean get() = isRunning && !isPaused

    /** Whether the store's answers and events reach this process. */
    var isCutOff = false
        set(value) {
            field = value
            storeFault = { if (value) StoreFault.LOST_CALL else StoreFault.NONE }
            if (value) store.holdEvents = true else store.releaseEvents()
        }

    fun tick() {
        if (!isUp) return
        if (!watching && !isCutOff) watch()
        loop.runDue()
        controller.tick()
        fleet.tick()
        loop.runDue()
    }

    private fun watch() {
        val read = store.list(Keys.CONTROL) as? ReadResult.Success ?: return
        controller.onSnapshot(read.entries)
        fleet.onSnapshot(read.entries)
        watching = true
        store.watch(Keys.CONTROL, read.storeRevision, Listener())
    }

    private inner class Listener : WatchListener {
        override fun onPut(entry: StoreEntry) =
            loop.execute {
                controller.onPut(entry)
                fleet.onPut(entry)
            }

        override fun onDelete(key: String) =
            loop.execute {
                controller.onDelete(key)
                fleet.onDelete(key)
            }

        override fun onLost(message: String) = loop.execute { watching = false }
    }
}

/** A table and when the store took it. */
internal data class TimedTable(
    val atMillis: Long,
    val table: AssignmentTable,
)

/** Everything that one history runs in. */
internal class ReplicaWorld(
    val seed: Int = 1,
    models: List<ModelSpec> = listOf(ModelSpec("chat", "1", instancesPerReplica = 4)),
) {
    val clock = FakeClock()
    val store = FakeKeyValueStore(clock)
    val engines = FakeEngines(clock)
    val processes = ArrayList<FakeProcess>()
    val tables = ArrayList<TimedTable>()

    /** What the platform's list says; null while it is right. */
    var list: List<ListedInstance>? = null
    var models = models
    val invariants = Invariants(this)

    /** Two processes that do not hear each other, so that each may think it is the first in turn. */
    var apart: Pair<FakeProcess, FakeProcess>? = null
    private var drains = emptyList<DrainRequest>()

    fun start(vararg names: String) {
        names.forEach { processes += FakeProcess(it, this) }
        store.client().watch(Keys.ASSIGNMENTS, 0, TableLog())
        spread()
    }

    private inner class TableLog : WatchListener {
        override fun onPut(entry: StoreEntry) {
            TableCodec.table(entry.value)?.let { tables += TimedTable(clock.monotonicMillis(), it) }
        }

        override fun onDelete(key: String) = error("$key was deleted")

        override fun onLost(message: String) = Unit
    }

    /** Tells every running process the list, the configuration and who answers. */
    fun spread() {
        val running = processes.filter { it.isRunning }
        val members = running.map { it.member }
        val answering = running.filter { it.isUp }.map { it.member.process }.toSet()
        running.filter { it.isUp }.forEach { p ->
            val unheard = apart?.let { (a, b) -> if (p == a) b else a.takeIf { p == b } }
            val heard = answering - setOfNotNull(unheard?.member?.process)
            p.controller.onMembership(MembershipView(p.member, members, heard))
            p.controller.onInstanceList(list ?: engines.listed())
            p.fleet.onInstanceList(list ?: engines.listed())
            p.controller.onConfiguration(configuration())
        }
    }

    /** Runs everything for [millis]; [check] is called after each step. */
    fun run(
        millis: Long,
        check: () -> Unit = {},
    ) {
        var left = millis
        while (left > 0) {
            clock.advance(ReplicaTiming.TICK_MILLIS)
            left -= ReplicaTiming.TICK_MILLIS
            engines.tick()
            if (clock.monotonicMillis() % SPREAD_MILLIS == 0L) spread()
            processes.toList().forEach { it.tick() }
            if (clock.monotonicMillis() % REPORT_MILLIS == 0L) report()
            check()
        }
    }

    /** The table as the store holds it. */
    fun table(): AssignmentTable = tables.lastOrNull()?.table ?: AssignmentTable(DC)

    /** The process that the store says is in control, if it runs. */
    fun controller(): FakeProcess? = processes.find { it.member.process == table().controller && it.isRunning }

    /** Asks for [instance] to be drained. */
    fun drain(instance: InstanceId) =
        writeDrains(drains + DrainRequest(instance, stop = false, operator = "op", at = "2026-01-01T00:00:00Z"))

    /** Takes all drain requests back. */
    fun undrain() = writeDrains(emptyList())

    private fun writeDrains(requests: List<DrainRequest>) {
        drains = requests
        val client = store.client()
        val revision = (client.get(Keys.DRAINS) as ReadResult.Success).entries.firstOrNull()?.revision ?: ABSENT
        client.compareAndSwap(Keys.DRAINS, revision, Json.encodeToString(DrainList(drains)).encodeToByteArray())
    }

    /** The news goes from the process that all agree on to all that run. */
    private fun report() {
        val now = clock.monotonicMillis()
        val up = processes.filter { it.isUp }
        val reporter =
            up
                .mapNotNull { it.controller.reporter() }
                .groupingBy { it }
                .eachCount()
                .maxByOrNull { it.value }
        val source = up.find { it.member.process == reporter?.key }?.controller?.loadReport() ?: return
        up.forEach { it.fleet.onLoad(source, now) }
    }

    private fun configuration() =
        Configuration(1, usage = UsageList(models), change = ChangeRecord("c", 1, "op", "2026-01-01T00:00:00Z"))

    private companion object {
        const val REPORT_MILLIS = 1_000L
        const val SPREAD_MILLIS = 2_000L
    }
}
