/*
 * Entry processes on simulated time, each with its real control plane, around one store that can be restored.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.Fleet
import auburnhall.core.OperatorLimits
import auburnhall.core.Replica
import auburnhall.core.ScheduledTask
import auburnhall.core.Scheduler
import auburnhall.core.Settings
import auburnhall.core.StoredEvacuations
import auburnhall.http.BufferedHttpClient
import auburnhall.http.EventLoopScheduler
import auburnhall.http.HttpClient
import auburnhall.http.newEventLoop
import auburnhall.platform.WorkerClient
import auburnhall.replica.ControllerTerm
import auburnhall.replica.ReplicaEpoch
import auburnhall.routing.PromptPart
import auburnhall.routing.QuarantinedPart
import auburnhall.test.FakeKeyValueStore
import auburnhall.test.FakeScheduler
import auburnhall.test.FakeStoreClient
import auburnhall.test.RecordingListener
import kotlin.random.Random

/** [processes] processes, which relay changes when there are at least [relayFrom]. */
internal class SimulatedFleet(
    processes: Int,
    private val relayFrom: Int,
    private val seed: Long = 1,
) {
    val time = FakeScheduler()
    val store = FakeKeyValueStore(time, delayMs = 4, leasesExpire = true)

    /** What must never happen and did. */
    val violations = ArrayList<String>()
    private val processesByName = LinkedHashMap<String, SimulatedProcess>()
    private val workers = ArrayList<SimulatedWorker>()
    private var version = 0
    private var starts = 0

    /** The processes that have not been killed. */
    val live: List<SimulatedProcess> get() = processesByName.values.toList()
    val workerCount: Int get() = workers.size

    init {
        writeConfiguration()
        repeat(WORKERS) { addWorker() }
        repeat(processes) { start("n%02d".format(it)) }
    }

    /** Advances the time by [ms] milliseconds and checks what must hold always. */
    fun advance(ms: Long) {
        val until = time.nowMs() + ms
        while (time.nowMs() < until) {
            time.advance(minOf(CHECK_PERIOD_MS, until - time.nowMs()))
            val leaders = live.filter { it.leading }.map { it.name }
            if (leaders.size > 1) violations.add("${time.nowMs()}: controllers $leaders")
        }
    }

    fun writeConfiguration() {
        version += 2
        store.put("op/config", configurationText())
    }

    fun addWorker() {
        workers.add(SimulatedWorker(workers.size))
        writeWorker(workers.lastIndex)
    }

    fun writeWorker(index: Int) {
        workers[index].writes++
        store.put(workers[index].key, workers[index].text())
    }

    fun drainWorker(index: Int) {
        workers[index].draining = true
        writeWorker(index)
    }

    /** The worker [index] leaves without having drained. */
    fun removeWorker(index: Int) {
        store.remove(workers[index].key)
    }

    /** Restores [copy]; if [rewritten], operator and workers write again soon what they had written. */
    fun restore(
        copy: FakeKeyValueStore.Copy,
        rewritten: Boolean = true,
    ) {
        store.restore(copy)
        if (!rewritten) return
        time.after(200) { store.put("op/config", configurationText()) }
        workers.indices.forEach { time.after(300L + it * 100) { writeWorker(it) } }
    }

    /** Names of the live processes for which other data centres than [dataCentres] are evacuated. */
    fun processesThatDoNotEvacuate(vararg dataCentres: String): List<String> =
        live.filter { it.evacuated != dataCentres.toSet() }.map { it.name }

    /** Lets all processes hold that [part] is quarantined. */
    fun quarantine(part: String) {
        val now = time.nowMs()
        val found = QuarantinedPart(PromptPart(part), 5, now, now + 600_000, false)
        live.forEach {
            it.quarantined.add(part)
            it.plane.quarantine.onSnapshot(listOf(found))
        }
    }

    /** Kills [process]; it starts again under the same name after [downMs] milliseconds. */
    fun kill(
        process: SimulatedProcess,
        downMs: Long,
    ) {
        processesByName.remove(process.name)
        process.end()
        time.after(downMs) { start(process.name) }
    }

    /** Names of the live processes that do not have the newest configuration, or other workers than the store. */
    fun staleProcesses(): List<String> {
        val draining = workers.filter { it.draining }.map { it.id }.toSet()
        return live
            .filter { process ->
                process.configuration?.version?.toInt() != version ||
                    process.fleet.workers.keys != workers.map { it.id }.toSet() ||
                    process.fleet.workers.values
                        .filter { it.draining }
                        .map { it.id }
                        .toSet() != draining
            }.map { it.name }
    }

    /** Names of the live processes that would send requests to the worker [index]. */
    fun processesThatUse(index: Int): List<String> =
        live.filter { it.fleet.workers[workers[index].id]?.draining == false }.map { it.name }

    /** Names of the live processes that know fewer or more processes than there are. */
    fun processesThatMissPeers(): List<String> {
        val names = live.map { it.name }.toSet()
        return live.filter { it.peers.keys != names - it.name }.map { it.name }
    }

    /** Names of the registered processes, by the store. */
    fun registered(): Set<String> =
        store
            .keys(ProcessRegistration.KEY_PREFIX)
            .map { it.removePrefix(ProcessRegistration.KEY_PREFIX) }
            .toSet()

    /** The term of the present controller. */
    fun lastTerm(): ControllerTerm =
        checkNotNull(
            live
                .single { it.leading }
                .plane.replicas.term,
        )

    private fun start(name: String) {
        val process = SimulatedProcess(name, starts++)
        processesByName[name] = process
        process.start()
    }

    private fun configurationText() =
        """{"version":$version,"routes":[{"name":"r","host":"h","prefix":"/r/","kind":"idempotent","timeout_ms":1000,
        "target_latency_ms":100,"priority":1,"service":"s","max_attempts":2,"anonymous":true}],
        "services":[{"name":"s","max_connections":9}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,
        "header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"""

    private class SimulatedWorker(
        number: Int,
    ) {
        val id = "i-$number"
        val key = "servers/$id"
        var draining = false
        var writes = 0L

        fun text() =
            """{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
            "state":"${if (draining) "draining" else "in_service"}","sequence":$writes,"born":77}"""
    }

    /** One process with its real control plane. */
    inner class SimulatedProcess(
        val name: String,
        start: Int,
    ) : ControlListener {
        private val client = FakeStoreClient(store, time)
        private val scheduler = ProcessScheduler()
        private val address = Address("127.0.0.1", 1)
        private val limits = OperatorLimits(8_000, 0.2, 10, 10_000)
        private val settings = Settings(name, "z", name, address, address, 1, address, 1_000, true, limits)
        private val random = Random(seed * 1_000 + start)
        val events = RecordingListener()
        private val context = ControlContext(settings, client, time, scheduler, random, events)
        private val sightings = StoreSightings(time)
        val plane = ControlPlane(context, sightings, UNUSED_WORKERS, this, relayFrom) { peer, _ -> sourceOf(peer) }
        val quarantined = HashSet<String>()
        val leading: Boolean get() = plane.isLeading

        /** Whether neither the store nor other processes reach it. */
        var cut = false
            set(value) {
                field = value
                client.cut = value || cutFromStore
            }

        /** Whether the store does not answer it, while other processes reach it. */
        var cutFromStore = false
            set(value) {
                field = value
                client.cut = value || cut
            }

        /** Where its last changes come from: the name of a process, or `store`. */
        val source: Any? get() =
            events.events
                .lastOrNull { it.name == "relay.chosen" }
                ?.details
                ?.toMap()
                ?.get("source")

        /** Whether the store refuses its calls at once, and serves the other processes. */
        var turnedAway by client::turnedAway
        private val exchange = EvacuationExchange(name, PeerRuntime(time, scheduler, random), ::send, events)

        /** The evacuated data centres as of the last state; null before the first, since it does not serve then. */
        var evacuated: Set<String>? = null
        var configuration: Configuration? = null
        var fleet = Fleet.EMPTY
        var peers: Map<String, PeerProcess> = emptyMap()

        /** Whether other processes reach it and the other way round. */
        val reachable: Boolean get() = !cut && !client.ended

        private fun sourceOf(peer: String): ChangeSource {
            val parent = processesByName[peer]
            return InProcessSource(peer, parent?.plane?.relay, scheduler) { reachable && parent?.reachable == true }
        }

        init {
            exchange.onChange = { dataCentres ->
                if (evacuated != null) evacuated = dataCentres
                plane.replicas.evacuated = dataCentres
            }
        }

        fun start() {
            plane.start()
            exchange.start()
            reportSightings()
        }

        private fun reportSightings() {
            val ageMs = sightings.ageMs(LoadScope.PROCESS)
            if (ageMs != null && reachable) {
                processesByName.values.filter { it.reachable }.forEach {
                    it.sightings.onReport(
                        LoadScope.PROCESS,
                        ageMs,
                    )
                }
            }
            scheduler.after(REPORT_PERIOD_MS) { reportSightings() }
        }

        fun end() {
            client.ended = true
        }

        /** Datagrams pass while the store does not answer; some are lost. */
        private fun send(
            message: PeerMessage,
            names: Collection<String>,
        ) {
            val sent = PeerMessage.decode(message.encode())
            processesByName.values.filter { it.name in names && random.nextDouble() >= DATAGRAM_LOSS }.forEach {
                it.scheduler.after(2) { it.exchange.onReport(sent.process, sent.evacuations) }
            }
        }

        override fun onState(
            configuration: Configuration,
            fleet: Fleet,
            replicas: Map<String, List<Replica>>,
            evacuated: StoredEvacuations,
        ) {
            val before = this.configuration
            if (before != null && configuration.version < before.version) {
                violations.add("${time.nowMs()}: $name went back to version ${configuration.version}")
            }
            val returned = fleet.workers.values.filter { !it.draining && this.fleet.workers[it.id]?.draining == true }
            if (returned.isNotEmpty()) violations.add("${time.nowMs()}: $name uses leaving ${returned.map { it.id }}")
            this.configuration = configuration
            this.fleet = fleet
            exchange.onStored(evacuated)
            this.evacuated = exchange.dataCentres
        }

        override fun onPeers(peers: Map<String, PeerProcess>) {
            this.peers = peers
            exchange.onPeers(peers.keys)
        }

        override fun onQuarantined(part: QuarantinedPart) {
            quarantined.add(part.part.id)
        }

        override fun onReleased(part: PromptPart) {
            quarantined.remove(part.id)
        }

        override fun onHealthy(key: ReplicaEpoch) = Unit

        override fun onSlow(key: ReplicaEpoch) = Unit

        override fun onTeardown(key: ReplicaEpoch) = Unit

        override fun onClosing(key: ReplicaEpoch) = Unit

        private inner class ProcessScheduler : Scheduler {
            override fun after(
                delayMs: Long,
                task: () -> Unit,
            ): ScheduledTask = time.after(delayMs) { if (!client.ended) task() }

            override fun run(task: () -> Unit) {
                after(0, task)
            }
        }
    }

    private companion object {
        const val WORKERS = 6
        const val CHECK_PERIOD_MS = 20L
        const val DATAGRAM_LOSS = 0.03
        const val REPORT_PERIOD_MS = 100L

        /** The configuration has no models, so no orders are sent. */
        val UNUSED_WORKERS =
            newEventLoop("unused").let { loop ->
                WorkerClient(BufferedHttpClient(HttpClient(loop, Clock.SYSTEM), EventLoopScheduler(loop)))
            }
    }
}
