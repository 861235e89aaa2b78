/*
 * Entry processes with their table controllers and fleet views over shared fakes of the store and the engines.
 */
package auburnhall.replica

import auburnhall.core.ChangeRecord
import auburnhall.core.Configuration
import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import auburnhall.core.ListedInstance
import auburnhall.core.ModelSpec
import auburnhall.core.ProcessId
import auburnhall.core.UsageList
import auburnhall.membership.Member
import auburnhall.membership.MembershipView
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import auburnhall.store.StoreEntry
import auburnhall.store.WatchListener
import auburnhall.test.FakeClock
import auburnhall.test.FakeControlLoop
import auburnhall.test.FakeKeyValueStore
import auburnhall.test.StoreFault
import kotlin.random.Random

internal val DC = DataCentreId("dc1")

/** One entry process. */
internal class FakeProcess(
    name: String,
    private val world: ReplicaWorld,
) {
    val member = Member(ProcessId(name), InstanceId("entry-$name"), DC, "$name:1", "$name:2")
    val loop = FakeControlLoop(world.clock)
    var storeFault = StoreFault.NONE
    var reachesEngines: (InstanceId) -> Boolean = { true }
    var losesOrderAnswers: (InstanceId) -> Boolean = { false }
    var isRunning = true
    var isPaused = false
    private val store = world.store.client { storeFault }
    private val engines = world.engines.Client({ reachesEngines(it) }, { losesOrderAnswers(it) })
    private val environment = ReplicaEnvironment(store, engines, loop, world.clock, Random(world.seed))
    val controller = TableController(DC, member.process, environment)
    val fleet = FleetViewController(world.clock)
    private var watching = false

    fun tick() {
        if (!isRunning || isPaused) return
        if (!watching) watch()
        loop.runDue()
        controller.tick()
        fleet.tick()
        loop.runDue()
    }

    fun holdEvents(held: Boolean) = if (held) store.holdEvents = true else store.releaseEvents()

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

/** Everything that one history runs in. */
internal class ReplicaWorld(
    val seed: Int = 1,
    models: List<ModelSpec> = listOf(ModelSpec("chat", "1", instancesPerReplica = 4)),
) {
    val clock = FakeClock()
    val store = FakeKeyValueStore(clock)
    val engines = FakeEngines(clock)
    val processes = ArrayList<FakeProcess>()
    var list: List<ListedInstance>? = null
    var models = models
        set(value) {
            field = value
            spread()
        }

    fun start(vararg names: String) {
        names.forEach { processes += FakeProcess(it, this) }
        spread()
    }

    /** Tells every running process the list, the configuration and who answers. */
    fun spread() {
        val running = processes.filter { it.isRunning }
        val members = running.map { it.member }
        running.filterNot { it.isPaused }.forEach { p ->
            val answering = running.filterNot { it.isPaused }.map { it.member.process }.toSet()
            p.controller.onMembership(MembershipView(p.member, members, answering))
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
            processes.toList().forEach { it.tick() }
            if (clock.monotonicMillis() % REPORT_MILLIS == 0L) report()
            check()
        }
    }

    /** The table as the store holds it. */
    fun table() =
        (store.client().get(Keys.assignment(DC)) as ReadResult.Success).entries.firstOrNull()?.let {
            TableCodec.table(it.value)
        }

    private fun report() {
        val now = clock.monotonicMillis()
        val up = processes.filter { it.isRunning && !it.isPaused }
        val source = up.map { it.controller.loadReport() }.find { it.controller } ?: return
        up.forEach { it.fleet.onLoad(source, now) }
    }

    private fun configuration() =
        Configuration(1, usage = UsageList(models), change = ChangeRecord("c", 1, "op", "2026-01-01T00:00:00Z"))

    private companion object {
        const val REPORT_MILLIS = 1_000L
    }
}
