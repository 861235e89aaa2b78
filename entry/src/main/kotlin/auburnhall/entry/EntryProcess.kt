/*
 * Wires the components of the entry process together: the traffic thread, which serves callers, the control thread,
 * which mirrors the store and controls replicas, and the log, metrics, readiness and shutdown.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.Fleet
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.core.StoredEvacuations
import auburnhall.core.log
import auburnhall.http.BufferedHttpClient
import auburnhall.http.EventLoopScheduler
import auburnhall.http.HttpClient
import auburnhall.http.HttpServer
import auburnhall.http.newEventLoop
import auburnhall.platform.HttpStore
import auburnhall.platform.SettingsFile
import auburnhall.platform.WorkerClient
import auburnhall.replica.ReplicaEpoch
import auburnhall.routing.PromptPart
import auburnhall.routing.QuarantinedPart
import auburnhall.routing.TargetTable
import kotlin.random.Random
import kotlin.system.exitProcess

/** Owns the threads and components of the process; [settings] is replaced when the settings are reloaded. */
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
    private val control = EventLoopScheduler(controlLoop)
    private val traffic =
        TrafficPlane({ settings }, clock, random, log, metrics) { replica ->
            control.run { plane.replicas.onSuspect(ReplicaEpoch(replica.name, replica.epoch)) }
        }
    private val bridge = ControlBridge(traffic)
    private val plane: ControlPlane = controlPlane()
    private val shutdown = Shutdown(clock, traffic, log, { settings.bounds.graceMs }, ::exit)
    private val endpoints = AdminEndpoints(clock, metrics) { traffic.configured && !shutdown.begun }

    /** Binds the ports and starts the control and traffic threads' timers; call once. */
    fun start() {
        log.log("process.started", "data_centre" to settings.dataCentre, "first_start" to settings.firstStart)
        metrics.gauge(
            "auburnhall_leading",
            "1 while this process is the elected controller of the replicas, 0 otherwise.",
        ) { if (plane.isLeading) 1 else 0 }
        metrics.gauge(
            "auburnhall_store_unseen_seconds",
            "Time since the store was last known to answer any process, in seconds.",
        ) { traffic.sightings.lastMs?.let { (clock.nowMs() - it) / MS_PER_SECOND } ?: Double.NaN }
        metrics.gauge("auburnhall_log_dropped_total", "Log lines that were dropped.") { log.droppedLines }
        metrics.models { plane.replicas.status }
        metrics.quarantinedParts(clock) { traffic.verdicts.quarantined }
        traffic.start()
        traffic.scheduler.run {
            traffic.onEvacuated = { dataCentres -> control.run { plane.replicas.evacuated = dataCentres } }
            traffic.gateway.onIsolated = { isolated -> control.run { plane.isolated = isolated } }
            traffic.peerMessenger.parts.onQuarantined = { parts -> control.run { plane.quarantine.onSnapshot(parts) } }
        }
        control.run { plane.start() }
        endpoints.serveReadiness(traffic.loop, settings.readinessListenAddress)
        endpoints.serveMetrics(controlLoop, Address(settings.host, options.metricsPort))
        serveRelay()
        traffic.scheduler.run { publishDemand() }
        control.after(DEFERRED_START_MS) { Thread(::startDeferred, "deferred").start() }
    }

    /** Loads what no request needs. */
    private fun startDeferred() {
        log.start()
        metrics.prepare()
    }

    /** Reads the settings file again; [trigger] is logged when the settings changed or cannot be read. */
    fun reload(trigger: String) {
        val read = file.read()
        if (read.isErr) {
            log.log("settings.unreadable", "trigger" to trigger, "error" to read.error)
        } else if (read.value != settings) {
            settings = read.value
            log.log("settings.reloaded", "trigger" to trigger)
        }
    }

    /** Begins a graceful shutdown; the process exits when it is complete. */
    fun stop() {
        log.start()
        control.run { plane.stop() }
        traffic.scheduler.run { shutdown.begin() }
    }

    private fun controlPlane(): ControlPlane {
        val client = HttpClient(controlLoop, clock)
        ConnectionObserver(log, metrics).observe(client)
        val bufferedClient = BufferedHttpClient(client, control)
        val store = CountedStore(HttpStore(client, bufferedClient) { settings.storeAddress }, metrics::onStoreCall)
        val context = ControlContext(settings, store, clock, control, random, log)
        val orders = WorkerClient(bufferedClient)
        return ControlPlane(context, traffic.sightings, orders, bridge, options.relayMinProcesses) { name, address ->
            PeerChangeSource(name, address, bufferedClient)
        }
    }

    private fun serveRelay() {
        val server = HttpServer(controlLoop, clock, { CallerLimits.DEFAULT }, plane.relay)
        server.bind(Address(settings.host, settings.peerPort)).sync()
    }

    private fun publishDemand() {
        if (plane.isLeading) {
            val demand = traffic.gateway.modelDemand()
            control.run { plane.replicas.onDemand(demand) }
        }
        traffic.scheduler.after(DEMAND_PERIOD_MS) { publishDemand() }
    }

    private fun exit() {
        log.flush(LOG_FLUSH_TIMEOUT_MS)
        exitProcess(0)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val LOG_FLUSH_TIMEOUT_MS = 100L

        /** On a quarter of a core, a process has served its first request before. */
        const val DEFERRED_START_MS = 1_500L

        /** Interval at which the controller process passes the demand for the models to its replica controllers. */
        const val DEMAND_PERIOD_MS = 500L
    }
}

/** Passes state and replica status from the control thread to the traffic thread. */
internal class ControlBridge(
    private val traffic: TrafficPlane,
) : ControlListener {
    override fun onState(
        configuration: Configuration,
        fleet: Fleet,
        replicas: Map<String, List<Replica>>,
        evacuated: StoredEvacuations,
    ) {
        val targets = TargetTable(fleet, configuration.services.values, replicas)
        traffic.scheduler.run { traffic.update(configuration, fleet, targets, evacuated) }
    }

    override fun onPeers(peers: Map<String, PeerProcess>) = traffic.scheduler.run { traffic.onPeers(peers) }

    override fun onQuarantined(part: QuarantinedPart) = traffic.scheduler.run { traffic.verdicts.adopt(part, "store") }

    override fun onReleased(part: PromptPart) = traffic.scheduler.run { traffic.verdicts.release(part) }

    override fun onHealthy(key: ReplicaEpoch) = reportStatus(key, ReplicaStatus.HEALTHY)

    override fun onSlow(key: ReplicaEpoch) = reportStatus(key, ReplicaStatus.SLOW)

    override fun onTeardown(key: ReplicaEpoch) = reportStatus(key, ReplicaStatus.TEARDOWN)

    override fun onClosing(key: ReplicaEpoch) = reportStatus(key, ReplicaStatus.CLOSING)

    private fun reportStatus(
        key: ReplicaEpoch,
        replicaStatus: ReplicaStatus,
    ) = traffic.scheduler.run {
        traffic.peerMessenger.reportStatus(TargetTable.keyOf(key.replica, key.epoch), replicaStatus)
    }
}
