/*
 * Puts the parts of the entry process together.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.Fleet
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.core.log
import auburnhall.gateway.GatewayState
import auburnhall.http.HttpClient
import auburnhall.http.HttpServer
import auburnhall.http.LoopScheduler
import auburnhall.http.ShortCaller
import auburnhall.http.newEventLoop
import auburnhall.platform.HttpStore
import auburnhall.platform.Samples
import auburnhall.platform.SettingsFile
import auburnhall.platform.WorkerCalls
import auburnhall.replica.ReplicaEpoch
import auburnhall.routing.TargetTable
import com.github.michaelbull.result.onSuccess
import kotlin.random.Random
import kotlin.system.exitProcess

/** The process under [settings]. */
internal class EntryProcess(
    @Volatile private var settings: Settings,
    private val file: SettingsFile,
    private val options: EntryOptions,
) {
    private val clock = Clock.SYSTEM
    private val random = Random(System.nanoTime() xor settings.processName.hashCode().toLong())
    private val log = EventLog(settings.processName)
    private val metrics = EntryMetrics()
    private val controlLoop = newEventLoop("control")
    private val control = LoopScheduler(controlLoop)
    private val traffic =
        Traffic({ settings }, clock, random, log, metrics) { replica ->
            control.run { plane.replicas.onSuspect(ReplicaEpoch(replica.name, replica.epoch)) }
        }
    private val bridge = ControlBridge(traffic)
    private val plane: ControlPlane = controlPlane()
    private val shutdown = Shutdown(clock, traffic.scheduler, traffic.callers, log, { settings.bounds.graceMs }, ::exit)
    private val pages = AdminPages(clock, metrics) { traffic.configured && !shutdown.begun }

    /** Starts serving. */
    fun start() {
        log.start()
        log.log("process.started", "data_centre" to settings.dataCentre, "first_start" to settings.firstStart)
        metrics.gauge(
            "auburnhall_leading",
            "1 while this process controls the replicas.",
        ) { if (plane.isLeading) 1 else 0 }
        metrics.gauge("auburnhall_log_dropped_total", "Log lines that were not written.") { log.droppedLines }
        traffic.start()
        pages.serveReadiness(traffic.loop, settings.readiness)
        pages.serveMetrics(controlLoop, Address(settings.host, options.metricsPort))
        serveRelay()
        control.run { plane.start() }
        traffic.scheduler.run { countPressure() }
    }

    /** Runs the code of the first requests once, so that the build's class archive holds it. */
    fun exercise() {
        Samples.configuration().onSuccess { bridge.onState(it, Fleet(0, Samples.workers()), emptyMap()) }
        metrics.onAnswered("sample", "served", 0)
        metrics.scrape()
        traffic.scheduler.run { traffic.gateway.onRequest(SampleCall.request(clock.nowMs()), SampleCall) }
    }

    /** Reads the settings again. */
    fun reload(trigger: String) {
        val read = file.read()
        if (read.isErr) {
            log.log("settings.unreadable", "trigger" to trigger, "error" to read.error)
        } else if (read.value != settings) {
            settings = read.value
            log.log("settings.reloaded", "trigger" to trigger)
        }
    }

    /** Begins a planned stop. */
    fun stop() {
        control.run { plane.stop() }
        traffic.scheduler.run { shutdown.begin() }
    }

    private fun controlPlane(): ControlPlane {
        val client = HttpClient(controlLoop, clock)
        val caller = ShortCaller(client, control)
        val store = HttpStore(client, caller) { settings.store }
        val parts = ControlParts(settings, store, clock, control, random, log)
        return ControlPlane(parts, WorkerCalls(caller), bridge, options.relayFrom) { name, peer ->
            PeerSource(name, peer, caller)
        }
    }

    private fun serveRelay() {
        val server = HttpServer(controlLoop, clock, { CallerLimits.DEFAULT }, plane.relay)
        server.bind(Address(settings.host, settings.peerPort)).sync()
    }

    private fun countPressure() {
        if (plane.isLeading) {
            val counted = traffic.gateway.pressure()
            control.run { plane.replicas.onPressure(counted) }
        }
        traffic.scheduler.after(PRESSURE_MS) { countPressure() }
    }

    private fun exit() {
        log.flush(FLUSH_MS)
        exitProcess(0)
    }

    private companion object {
        const val FLUSH_MS = 100L

        /** Time between counts of the load by model. */
        const val PRESSURE_MS = 500L
    }
}

/** Hands what the control thread knows to the traffic thread. */
internal class ControlBridge(
    private val traffic: Traffic,
) : ControlListener {
    override fun onState(
        configuration: Configuration,
        fleet: Fleet,
        replicas: Map<String, List<Replica>>,
    ) {
        val state = GatewayState(configuration, TargetTable(fleet, configuration.services.values, replicas))
        traffic.scheduler.run { traffic.gateway.update(state) }
    }

    override fun onPeers(peers: Map<String, PeerProcess>) = traffic.scheduler.run { traffic.news.onPeers(peers) }

    override fun onSound(key: ReplicaEpoch) = tell(key, Finding.SOUND)

    override fun onSlow(key: ReplicaEpoch) = tell(key, Finding.SLOW)

    override fun onBreaking(key: ReplicaEpoch) = tell(key, Finding.BREAKING)

    private fun tell(
        key: ReplicaEpoch,
        finding: Finding,
    ) = traffic.scheduler.run { traffic.news.tell(TargetTable.keyOf(key.replica, key.epoch), finding) }
}
