/*
 * What replica control of one data centre costs at several sizes: bytes of its table, processor time of a controller's
 * tick at rest, status requests a second and bytes of a load report.
 */
package auburnhall.bench.placement

import auburnhall.core.AssignmentTable
import auburnhall.core.ChangeRecord
import auburnhall.core.Configuration
import auburnhall.core.DataCentreId
import auburnhall.core.FabricDomainId
import auburnhall.core.InstanceId
import auburnhall.core.InstanceKind
import auburnhall.core.ListedInstance
import auburnhall.core.ListedState
import auburnhall.core.ModelSpec
import auburnhall.core.ProcessId
import auburnhall.core.UsageList
import auburnhall.engine.ChatCall
import auburnhall.engine.ChatResult
import auburnhall.engine.EngineClient
import auburnhall.engine.EngineOrder
import auburnhall.engine.EngineState
import auburnhall.engine.EngineStatus
import auburnhall.engine.OrderResult
import auburnhall.engine.StatusResult
import auburnhall.membership.Member
import auburnhall.membership.MembershipView
import auburnhall.proto.peer.LoadReport
import auburnhall.replica.DataCentreLoad
import auburnhall.replica.ReplicaEnvironment
import auburnhall.replica.ReplicaTiming
import auburnhall.replica.TableController
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import auburnhall.test.FakeClock
import auburnhall.test.FakeControlLoop
import auburnhall.test.FakeKeyValueStore
import kotlinx.serialization.json.Json
import java.lang.management.ManagementFactory
import java.util.Locale

private const val SMALL = 40
private const val MEDIUM = 200
private const val TARGET = 420
private const val LARGE = 830
private val SIZES = listOf(SMALL, MEDIUM, TARGET, LARGE)
private const val REPLICA_SIZE = 4
private const val DOMAIN_SIZE = 20
private const val PREFIXES = 64
private const val WARM_UP_TICKS = 2_000
private const val MEASURED_TICKS = 4_000
private const val NANOS_PER_MICRO = 1_000.0
private const val TICKS_PER_SECOND = 1_000.0 / ReplicaTiming.TICK_MILLIS
private const val MICROS_PER_PERCENT = 10_000.0

/** Prints the slopes. */
internal class SlopeBench {
    fun run(out: Appendable) {
        out.appendLine()
        out.appendLine(
            "| instances | replicas | table, bytes | tick, µs of processor | % of a core | polls/s | report, bytes |",
        )
        out.appendLine("|---|---|---|---|---|---|---|")
        SIZES.forEach { out.appendLine(row(it)) }
    }

    private fun row(instances: Int): String {
        val control = MeasuredControl(instances)
        control.run(WARM_UP_TICKS)
        val polls = control.engines.polls
        val thread = ManagementFactory.getThreadMXBean()
        val before = thread.currentThreadCpuTime
        control.run(MEASURED_TICKS)
        val micros = (thread.currentThreadCpuTime - before) / NANOS_PER_MICRO / MEASURED_TICKS
        val perSecond = (control.engines.polls - polls) / (MEASURED_TICKS / TICKS_PER_SECOND)
        val table = control.table()
        val report = message(control.controller.loadReport()).serializedSize
        return String.format(
            Locale.ROOT,
            "| %d | %d | %d | %.0f | %.2f | %.0f | %d |",
            instances,
            table.replicas.size,
            control.tableBytes(),
            micros,
            micros * TICKS_PER_SECOND / MICROS_PER_PERCENT,
            perSecond,
            report,
        )
    }
}

/** The report as it is sent between entry processes. */
private fun message(load: DataCentreLoad): LoadReport {
    val report = LoadReport.newBuilder().setDataCentre(load.dataCentre.value).setController(load.controller)
    load.replicas.forEach { r ->
        report
            .addReplicasBuilder()
            .setReplica(r.replica.value)
            .setGeneration(r.generation)
            .setPresenceAgeMs(r.presenceAgeMillis)
            .setRunning(r.running)
            .setQueued(r.queued)
            .setCapacity(r.capacity)
            .setTokensPerSecond(r.tokensPerSecond)
            .setAcceptsFencing(r.acceptsFencing)
            .setLeaderAddress(r.leaderAddress)
            .addAllPrefixes(r.prefixes)
    }
    return report.build()
}

/** A controller in control of a data centre of [instances] engines, on a clock moved by hand. */
internal class MeasuredControl(
    instances: Int,
) {
    private val dataCentre = DataCentreId("dc1")
    private val clock = FakeClock()
    private val loop = FakeControlLoop(clock)
    private val store = FakeKeyValueStore(clock).client()
    private val self = Member(ProcessId("p1"), InstanceId("e1"), dataCentre, "p1:1", "p1:2")
    val engines = MeasuredEngines()
    val controller = TableController(dataCentre, self.process, ReplicaEnvironment(store, engines, loop, clock))

    init {
        val models = listOf(ModelSpec("chat", "1", REPLICA_SIZE))
        val change = ChangeRecord("c", 1, "operator", "2026-01-01T00:00:00Z")
        controller.onSnapshot(emptyList())
        controller.onMembership(MembershipView(self, listOf(self), setOf(self.process)))
        controller.onConfiguration(Configuration(1, usage = UsageList(models), change = change))
        controller.onInstanceList((0 until instances).map { listed(it) })
    }

    /** Runs [ticks]. */
    fun run(ticks: Int) =
        repeat(ticks) {
            clock.advance(ReplicaTiming.TICK_MILLIS)
            controller.tick()
            loop.runDue()
        }

    /** Size of the table in the store. */
    fun tableBytes(): Int = stored().size

    /** The table in the store. */
    fun table(): AssignmentTable = Json.decodeFromString(stored().decodeToString())

    private fun stored(): ByteArray =
        (store.get(Keys.assignment(dataCentre)) as ReadResult.Success).entries.single().value

    private fun listed(i: Int) =
        ListedInstance(
            id = InstanceId("i-%06d".format(Locale.ROOT, i)),
            kind = InstanceKind.ENGINE,
            address = "i-%06d".format(Locale.ROOT, i),
            dataCentre = dataCentre,
            fabricDomain = FabricDomainId("d${i / DOMAIN_SIZE}"),
            state = ListedState.LIVE,
        )
}

/** Engines that load at once and cost next to nothing to ask. */
internal class MeasuredEngines : EngineClient {
    private val forms = HashMap<String, EngineOrder.Form>()
    private val prefixes = (1..PREFIXES).toList()

    /** Status requests answered. */
    var polls = 0L
        private set

    override fun chat(
        address: String,
        call: ChatCall,
    ): ChatResult = error("nothing is sent here")

    override fun status(address: String): StatusResult {
        polls += 1
        val f = forms[address]
        val status =
            EngineStatus(
                instance = InstanceId(address),
                incarnation = "run-$address",
                replica = f?.replica,
                generation = f?.generation ?: 0,
                model = f?.model,
                modelVersion = f?.modelVersion,
                state = if (f == null) EngineState.IDLE else EngineState.READY,
                running = 1,
                capacity = REPLICA_SIZE,
                prefixes = if (f?.members?.first()?.address == address) prefixes else emptyList(),
            )
        return StatusResult.Success(status)
    }

    override fun order(
        address: String,
        order: EngineOrder,
    ): OrderResult {
        if (order is EngineOrder.Form) forms[address] = order else forms.remove(address)
        return OrderResult.Accepted
    }

    override fun close() = Unit
}
