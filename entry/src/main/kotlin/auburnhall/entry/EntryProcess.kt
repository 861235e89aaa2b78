/*
 * One entry process: the control state, the gateway for callers, the routes for operators and the server for peers.
 */
package auburnhall.entry

import auburnhall.config.ConfigView
import auburnhall.config.OperatorService
import auburnhall.config.api.operatorRoutes
import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.CustomerId
import auburnhall.core.Plan
import auburnhall.core.ProcessId
import auburnhall.engine.EngineClient
import auburnhall.engine.InstanceList
import auburnhall.explain.PeerExplanationLog
import auburnhall.gateway.Gateway
import auburnhall.gateway.GatewayListener
import auburnhall.gateway.GatewayMetrics
import auburnhall.gateway.GatewayParts
import auburnhall.gateway.GatewaySettings
import auburnhall.gateway.GatewayState
import auburnhall.gateway.RequestLog
import auburnhall.gateway.RequestsInProgress
import auburnhall.gateway.ServiceClient
import auburnhall.http.HttpServer
import auburnhall.http.ServerSettings
import auburnhall.ledger.Ledger
import auburnhall.ledger.LedgerContext
import auburnhall.ledger.LedgerShards
import auburnhall.limits.Limits
import auburnhall.limits.LimitsPorts
import auburnhall.membership.Member
import auburnhall.peer.GrpcExplanationPeers
import auburnhall.peer.GrpcLedgerPeers
import auburnhall.peer.GrpcShareLender
import auburnhall.peer.PeerChannels
import auburnhall.peer.PeerParts
import auburnhall.peer.PeerServer
import auburnhall.peer.PeerService
import auburnhall.store.etcd.EtcdKeyValueStore
import auburnhall.store.etcd.EtcdSettings
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.http4k.core.HttpHandler
import org.tinylog.kotlin.Logger
import java.net.ServerSocket
import java.util.UUID
import kotlin.random.Random

/** A running entry process. */
class EntryProcess(
    private val settings: EntrySettings,
) {
    private val clock = Clock()
    private val random = Random.Default
    private val loop = ControlLoop { Logger.error(it, "a control task failed") }
    private val registry = PrometheusRegistry()
    private val metrics = EntryMetrics(registry)
    private val channels = PeerChannels()
    private val store = EtcdKeyValueStore(EtcdSettings(settings.store), metrics)
    private val engines = EngineClient(clock)
    private val listen = settings.listen.withPorts()
    private val self = memberOf(settings, listen)
    private val control = ControlPlane(self, controlPorts())
    private val limits = Limits(limitsPorts())
    private val explanations =
        PeerExplanationLog(self.process, control.membership, GrpcExplanationPeers(channels), loop, clock)
    private val shards = LedgerShards(control.membership, LedgerContext(self.process, store, loop, clock, random))
    private val ledger = Ledger(control.membership, shards, GrpcLedgerPeers(channels), clock)
    private val inProgress = RequestsInProgress()

    @Volatile
    private var state = GatewayState.STARTING

    private val gateway = Gateway(gatewayParts())
    private val operators = operatorHandler()
    private val peers =
        PeerServer(
            listen.address,
            listen.peerPort,
            PeerService(
                PeerParts(
                    membership = control.membership,
                    config = control.config,
                    shares = limits.shareOwner,
                    explanations = explanations.store,
                    loadNews = control.loadNews,
                    ledger = shards,
                ),
            ),
        )
    private val server =
        HttpServer(serverSettings(settings, listen)) { request ->
            if (request.uri.path.startsWith(OPERATOR_PREFIX)) operators(request) else gateway(request)
        }

    /** Address for callers and operators. */
    val callerAddress: String get() = self.callerAddress

    /** Begins to read the control state and to serve; [onStopRequested] is called once operators ask for a stop. */
    fun start(onStopRequested: () -> Unit) {
        JvmMetrics.builder().register(registry)
        metrics.register(control.reporter) {
            control.membership
                .view()
                .active.size
        }
        control.onFleetChanged = limits::onFleetChanged
        control.onOwnDrain = { if (it.stop) onStopRequested() else leave() }
        loop.execute {
            control.start()
            limits.start()
        }
        explanations.start()
        state = GatewayState.SERVING
        Logger.info("process={} serves callers at {} and peers at {}", self.process, callerAddress, self.peerAddress)
    }

    /** Stops without cutting off a request: blocks until all have ended or the drain time is over. */
    fun stop() {
        val stop = GracefulStop(settings.stop, clock, inProgress)
        Logger.info("step=DRAIN process={} is leaving; requests in progress: {}", self.process, inProgress.count)
        leave()
        stop.awaitBalancer()
        state = GatewayState.CLOSED
        stop.awaitRequests()
        val lost = explanations.handOver(stop.handOverBy())
        stop.awaitDone { done -> loop.execute { control.membership.stop { done() } } }
        Logger.info(
            "step=DRAIN process={} ends; requests cut off: {}; explanation records with too few copies: {}",
            self.process,
            inProgress.count,
            lost,
        )
        close()
    }

    /** Takes no new work from the balancer and gives control of assignment tables up; until the process ends. */
    private fun leave() {
        if (state != GatewayState.SERVING) return
        state = GatewayState.LEAVING
        loop.execute {
            control.membership.drain()
            control.tables.onStopping()
        }
    }

    private fun close() {
        server.close()
        peers.close()
        loop.close()
        channels.close()
        store.close()
    }

    private fun controlPorts() =
        ControlPorts(
            clock = clock,
            loop = loop,
            store = store,
            channels = channels,
            engines = engines,
            instances = InstanceList(settings.platform),
            random = random,
            replicaListener = ReplicaLog,
        )

    private fun limitsPorts() =
        LimitsPorts(
            dataCentre = settings.dataCentre,
            fleet = control::fleet,
            plan = ::planOf,
            membership = control.membership,
            lender = GrpcShareLender(channels),
            control = loop,
            clock = clock,
            random = random,
        )

    private fun gatewayParts() =
        GatewayParts(
            self = self.process,
            dataCentre = settings.dataCentre,
            clock = clock,
            config = control.config,
            admission = limits.admission,
            engines = engines,
            services = ServiceClient(clock),
            ledger = ledger,
            explanations = explanations,
            fleet = control::fleet,
            state = { state },
            listener = GatewayListener(GatewayMetrics(registry, inProgress), RequestLog()),
            metrics = registry,
            inProgress = inProgress,
            settings = GatewaySettings(bodyBytes = settings.callers.maxBodyBytes),
        )

    private fun operatorHandler(): HttpHandler {
        val keys = OperatorKeys(settings.operators)
        return operatorRoutes(
            service = OperatorService(clock, store, control.config),
            status = {
                control.reporter.status(
                    versionInForce(),
                    control.membership
                        .view()
                        .active.size,
                )
            },
            explain = explanations::find,
            operatorName = keys::nameOf,
        )
    }

    private fun versionInForce(): Long? =
        (control.config.current() as? ConfigView.InForce)?.index?.configuration?.version

    private fun planOf(customer: CustomerId): Plan? {
        val index = (control.config.current() as? ConfigView.InForce)?.index
        return index?.customer(customer)?.let { index.plan(it.plan) }
    }

    private companion object {
        const val OPERATOR_PREFIX = "/operator/"
    }
}

/** The same settings with each port 0 replaced by a port that is free now. */
private fun ListenSettings.withPorts() = copy(port = orFree(port), peerPort = orFree(peerPort))

private fun orFree(port: Int): Int = if (port != 0) port else ServerSocket(0).use { it.localPort }

private fun memberOf(
    settings: EntrySettings,
    listen: ListenSettings,
) = Member(
    process = ProcessId("${settings.instance}-${UUID.randomUUID().toString().take(ID_CHARS)}"),
    instance = settings.instance,
    dataCentre = settings.dataCentre,
    peerAddress = "${listen.address}:${listen.peerPort}",
    callerAddress = "${listen.address}:${listen.port}",
)

private fun serverSettings(
    settings: EntrySettings,
    listen: ListenSettings,
) = ServerSettings(
    host = listen.address,
    port = listen.port,
    threads = settings.callers.threads,
    idleTimeoutMillis = settings.callers.idleSeconds * MILLIS_PER_SECOND,
    headerBytes = settings.callers.maxHeaderBytes,
)

private const val ID_CHARS = 8
private const val MILLIS_PER_SECOND = 1_000L
