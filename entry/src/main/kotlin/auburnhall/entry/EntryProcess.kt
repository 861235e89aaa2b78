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
import auburnhall.gateway.FilterChain
import auburnhall.gateway.Gateway
import auburnhall.gateway.GatewayParts
import auburnhall.gateway.GatewayState
import auburnhall.http.HttpClient
import auburnhall.http.HttpServer
import auburnhall.http.InboundRequest
import auburnhall.http.LoopScheduler
import auburnhall.http.Reply
import auburnhall.http.ShortCaller
import auburnhall.http.newEventLoop
import auburnhall.http.newHeaders
import auburnhall.platform.HttpStore
import auburnhall.platform.PlatformCallerCodec
import auburnhall.platform.PlatformWorkerCodec
import auburnhall.platform.Readiness
import auburnhall.platform.Samples
import auburnhall.platform.SettingsFile
import auburnhall.platform.WorkerCalls
import auburnhall.replica.ReplicaEpoch
import auburnhall.routing.AdmissionPolicy
import auburnhall.routing.LoadBook
import auburnhall.routing.RetryBounds
import auburnhall.routing.Router
import auburnhall.routing.SilenceMonitor
import auburnhall.routing.TargetHealth
import auburnhall.routing.TargetKey
import auburnhall.routing.TargetTable
import com.github.michaelbull.result.onSuccess
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlin.random.Random
import kotlin.system.exitProcess

/** The process under [settings]. */
class EntryProcess(
    @Volatile private var settings: Settings,
    private val file: SettingsFile,
    private val metricsPort: Int,
) : ControlListener {
    private val clock = Clock.SYSTEM
    private val random = Random(System.nanoTime() xor settings.processName.hashCode().toLong())
    private val log = EventLog(settings.processName)
    private val metrics = EntryMetrics()
    private val trafficLoop = newEventLoop("traffic")
    private val controlLoop = newEventLoop("control")
    private val traffic = LoopScheduler(trafficLoop)
    private val control = LoopScheduler(controlLoop)
    private val load = LoadBook(clock)
    private val health = TargetHealth(clock)
    private val silence = SilenceMonitor(clock)
    private val client = HttpClient(trafficLoop, clock)
    private val news: PeerNews = PeerNews(
        settings.processName,
        settings.peerPort,
        trafficLoop,
        traffic,
        load,
        health,
        silence,
        { parts.state.targets },
        { replica -> control.run { plane.onSuspect(ReplicaEpoch(replica.name, replica.epoch)) } },
    )
    private val parts: GatewayParts = GatewayParts(
        clock = clock,
        scheduler = traffic,
        client = client,
        callerCodec = PlatformCallerCodec,
        workerCodec = PlatformWorkerCodec,
        router = Router(load, health, settings.dataCentre, random, client::hasIdle),
        load = load,
        health = health,
        silence = silence,
        admission = AdmissionPolicy { random.nextDouble() },
        listener = log,
        metrics = metrics,
        onSuspect = ::onSuspect,
        retryBounds = { settings.bounds.let { RetryBounds(it.retryRatio, it.retryWindowMs, it.retryExtra) } },
        processes = { news.processes },
    )
    private val gateway = Gateway(parts, FilterChain({ parts.state.configuration }, random))
    private val callers = HttpServer(trafficLoop, clock, ::limits, gateway)
    private val plane: ControlPlane = controlPlane()
    private val shutdown = Shutdown(clock, traffic, callers, log, { settings.bounds.graceMs }, ::exit)

    private var pressureAt = 0L

    /** Starts serving. */
    fun start() {
        log.start()
        log.log("process.started", "data_centre" to settings.dataCentre, "first_start" to settings.firstStart)
        gauges()
        callers.bind(settings.callers).sync()
        HttpServer(trafficLoop, clock, { CallerLimits.DEFAULT }, ::onReadiness).bind(settings.readiness).sync()
        HttpServer(controlLoop, clock, { CallerLimits.DEFAULT }, ::onMetrics).bind(Address(settings.host, metricsPort)).sync()
        traffic.run {
            news.start(settings.host)
            tick()
        }
        control.run { plane.start() }
    }

    /** Runs the code of the first requests once, so that the build's class archive holds it. */
    fun exercise() {
        Samples.configuration().onSuccess { onState(it, Fleet(0, Samples.workers()), emptyMap()) }
        metrics.onAnswered("sample", "served", 0)
        metrics.scrape()
        traffic.run {
            val request = InboundRequest(HttpMethod.GET, "/", newHeaders(), ByteArray(0), clock.nowMs())
            gateway.onRequest(request, SampleReply)
        }
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
        traffic.run { shutdown.begin() }
    }

    override fun onState(
        configuration: Configuration,
        fleet: Fleet,
        replicas: Map<String, List<Replica>>,
    ) {
        val state = GatewayState(configuration, TargetTable(fleet, configuration.services.values, replicas))
        traffic.run { gateway.update(state) }
    }

    override fun onSound(key: ReplicaEpoch) = traffic.run { news.tell(targetKey(key), Finding.SOUND) }

    override fun onBreaking(key: ReplicaEpoch) = traffic.run { news.tell(targetKey(key), Finding.BREAKING) }

    override fun onPeers(peers: Map<String, String>) {
        val hosts = peers.values.toList()
        traffic.run { news.onPeers(hosts) }
    }

    private fun controlPlane(): ControlPlane {
        val controlClient = HttpClient(controlLoop, clock)
        val caller = ShortCaller(controlClient, control)
        val store = HttpStore(controlClient, caller) { settings.store }
        return ControlPlane(settings, store, WorkerCalls(caller), clock, control, random, log, this)
    }

    private fun limits(): CallerLimits = parts.state.configuration?.limits ?: CallerLimits.DEFAULT

    private fun targetKey(key: ReplicaEpoch) = TargetTable.keyOf(key.replica, key.epoch)

    private fun onSuspect(key: TargetKey) = news.tell(key, Finding.SUSPECT)

    private fun onReadiness(
        request: InboundRequest,
        reply: Reply,
    ) {
        val ready = parts.state.configuration != null && !shutdown.begun
        val status = if (request.path == Readiness.PATH) Readiness.statusOf(ready) else NOT_FOUND
        reply.send(status, newHeaders(), ByteArray(0))
    }

    private fun onMetrics(
        request: InboundRequest,
        reply: Reply,
    ) {
        val found = request.path == METRICS_PATH
        reply.send(if (found) OK else NOT_FOUND, newHeaders(), if (found) metrics.scrape() else ByteArray(0))
    }

    private fun gauges() {
        metrics.gauge("auburnhall_worker_connections", "Connections to workers.") { client.openConnections }
        metrics.gauge("auburnhall_worker_connects_total", "Connections to workers that were established.") { client.connects }
        metrics.gauge("auburnhall_queued_requests", "Requests that wait for a place.") { gateway.queued }
        metrics.gauge("auburnhall_leading", "1 while this process controls the replicas.") { if (plane.isLeading) 1 else 0 }
        metrics.gauge("auburnhall_log_dropped_total", "Log lines that were not written.") { log.droppedLines }
    }

    private fun tick() {
        gateway.tick()
        if (plane.isLeading && clock.nowMs() - pressureAt >= PRESSURE_MS) {
            pressureAt = clock.nowMs()
            val counted = gateway.pressure()
            control.run { plane.onPressure(counted) }
        }
        traffic.after(Gateway.TICK_MS) { tick() }
    }

    private fun exit() {
        log.flush(FLUSH_MS)
        exitProcess(0)
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val METRICS_PATH = "/metrics"
        const val FLUSH_MS = 100L

        /** Time between counts of the load by model. */
        const val PRESSURE_MS = 500L
    }
}

/** Drops the answer to a sample request. */
private object SampleReply : Reply {
    override var onGone: (() -> Unit)? = null

    override fun send(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    ) = Unit

    override fun start(
        status: Int,
        headers: HttpHeaders,
    ) = Unit

    override fun write(content: ByteBuf) {
        content.release()
    }

    override fun finish() = Unit

    override fun abort() = Unit
}
