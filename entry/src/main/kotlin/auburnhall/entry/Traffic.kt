/*
 * The traffic thread: serves callers through the gateway and exchanges messages with the other processes.
 */
package auburnhall.entry

import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.gateway.Decisions
import auburnhall.gateway.FilterChain
import auburnhall.gateway.Gateway
import auburnhall.gateway.GatewayCodecs
import auburnhall.gateway.GatewayParts
import auburnhall.gateway.GatewayReports
import auburnhall.gateway.GatewayRuntime
import auburnhall.gateway.RetryBudgets
import auburnhall.http.HttpClient
import auburnhall.http.HttpServer
import auburnhall.http.LoopScheduler
import auburnhall.http.newEventLoop
import auburnhall.platform.PlatformCallerCodec
import auburnhall.platform.PlatformWorkerCodec
import auburnhall.routing.AdmissionPolicy
import auburnhall.routing.LoadBook
import auburnhall.routing.RetryBounds
import auburnhall.routing.Router
import auburnhall.routing.SilenceMonitor
import auburnhall.routing.TargetHealth
import io.netty.channel.EventLoop
import kotlin.random.Random

/** Owns the components of the traffic thread; [settings] returns the current settings. */
class Traffic(
    private val settings: () -> Settings,
    private val clock: Clock,
    random: Random,
    listener: EventListener,
    metrics: EntryMetrics,
    onSuspect: (Replica) -> Unit,
) {
    /** The event loop of the traffic thread. */
    val loop: EventLoop = newEventLoop("traffic")

    /** Runs tasks on the traffic thread. */
    val scheduler = LoopScheduler(loop)
    private val load = LoadBook(clock)
    private val health = TargetHealth(clock)
    private val silence = SilenceMonitor(clock)
    private val client = HttpClient(loop, clock)
    private val parts: GatewayParts =
        GatewayParts(
            GatewayRuntime(clock, scheduler, client),
            GatewayCodecs(PlatformCallerCodec, PlatformWorkerCodec),
            Decisions(
                Router(load, health, settings().dataCentre, random, client::hasIdle),
                load,
                health,
                silence,
                AdmissionPolicy { random.nextDouble() },
            ),
            GatewayReports(listener, metrics) { news.reportStatus(it, Finding.SUSPECT) },
            RetryBudgets(clock, ::retryBounds) { news.processes },
        )

    /** Exchanges load reports and replica status with the other processes. */
    val news: PeerNews =
        PeerNews(
            settings(),
            loop,
            clock,
            listener,
            NewsSubjects(load, health, silence, { parts.state.targets }, onSuspect),
        )

    val gateway = Gateway(parts, FilterChain({ parts.state.configuration }, random))

    /** The server that callers connect to. */
    val callers = HttpServer(loop, clock, ::limits, gateway)

    /** Whether a configuration is known. */
    val configured: Boolean get() = parts.state.configuration != null

    init {
        metrics.gauge("auburnhall_worker_connections", "Open connections to workers.") { client.openConnections }
        metrics.gauge(
            "auburnhall_worker_connects_total",
            "Connections to workers established since the start.",
        ) { client.connects }
        metrics.gauge("auburnhall_queued_requests", "Requests waiting in the admission queue.") { gateway.queued }
    }

    /** Binds the ports and starts the timers; call once, not on the traffic thread. */
    fun start() {
        callers.bind(settings().callers).sync()
        scheduler.run {
            news.start(settings().host)
            tick()
        }
    }

    private fun retryBounds(): RetryBounds =
        settings().bounds.let { RetryBounds(it.retryRatio, it.retryWindowMs, it.retryExtra) }

    private fun limits(): CallerLimits = parts.state.configuration?.limits ?: CallerLimits.DEFAULT

    private fun tick() {
        gateway.tick()
        scheduler.after(Gateway.TICK_MS) { tick() }
    }
}
