/*
 * One entry process: the control state, the gateway for callers and operators, and the server for peers.
 */
package auburnhall.entry

import auburnhall.config.ConfigView
import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.CustomerId
import auburnhall.core.Plan
import auburnhall.core.ProcessId
import auburnhall.core.deadlineIn
import auburnhall.engine.EngineClient
import auburnhall.engine.InstanceList
import auburnhall.explain.PeerExplanationLog
import auburnhall.gateway.Gateway
import auburnhall.gateway.GatewayParts
import auburnhall.gateway.GatewaySettings
import auburnhall.gateway.GatewayState
import auburnhall.gateway.RequestsInProgress
import auburnhall.gateway.ServiceClient
import auburnhall.http.HttpServer
import auburnhall.http.ServerSettings
import auburnhall.limits.Limits
import auburnhall.limits.LimitsPorts
import auburnhall.membership.Member
import auburnhall.peer.GrpcExplanationPeers
import auburnhall.peer.GrpcShareLender
import auburnhall.peer.PeerChannels
import auburnhall.peer.PeerParts
import auburnhall.peer.PeerServer
import auburnhall.peer.PeerService
import auburnhall.replica.ReplicaEventListener
import auburnhall.store.etcd.EtcdKeyValueStore
import auburnhall.store.etcd.EtcdSettings
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
    private val channels = PeerChannels()
    private val store = EtcdKeyValueStore(EtcdSettings(settings.store))
    private val engines = EngineClient(clock)
    private val listen = settings.listen.withPorts()
    private val self =
        Member(
            process = ProcessId("${settings.instance}-${UUID.randomUUID().toString().take(ID_CHARS)}"),
            instance = settings.instance,
            dataCentre = settings.dataCentre,
            peerAddress = "${listen.address}:${listen.peerPort}",
            callerAddress = "${listen.address}:${listen.port}",
        )
    private val control =
        ControlPlane(
            self,
            ControlPorts(
                clock,
                loop,
                store,
                channels,
                engines,
                InstanceList(settings.platform),
                random,
                ReplicaEventListener.NONE,
            ),
        )
    private val limits =
        Limits(
            LimitsPorts(
                dataCentre = settings.dataCentre,
                fleet = control::fleet,
                plan = ::planOf,
                membership = control.membership,
                lender = GrpcShareLender(channels),
                control = loop,
                clock = clock,
                random = random,
            ),
        )
    private val explanations =
        PeerExplanationLog(self.process, control.membership, GrpcExplanationPeers(channels), loop, clock)
    private val inProgress = RequestsInProgress()

    @Volatile
    private var state = GatewayState.STARTING

    private val gateway =
        Gateway(
            GatewayParts(
                self = self.process,
                dataCentre = settings.dataCentre,
                clock = clock,
                config = control.config,
                admission = limits.admission,
                engines = engines,
                services = ServiceClient(clock),
                ledger = UnavailableLedger,
                explanations = explanations,
                fleet = control::fleet,
                state = { state },
                inProgress = inProgress,
                settings = GatewaySettings(bodyBytes = settings.callers.maxBodyBytes),
            ),
        )
    private val peers =
        PeerServer(
            listen.address,
            listen.peerPort,
            PeerService(
                PeerParts(control.membership, control.config, limits.shareOwner, explanations.store, control.loadNews),
            ),
        )
    private val server =
        HttpServer(
            ServerSettings(
                host = listen.address,
                port = listen.port,
                threads = settings.callers.threads,
                idleTimeoutMillis = settings.callers.idleSeconds * MILLIS_PER_SECOND,
                headerBytes = settings.callers.maxHeaderBytes,
            ),
            gateway,
        )

    /** Address for callers and operators. */
    val callerAddress: String get() = self.callerAddress

    /** Begins to read the control state and to serve. */
    fun start() {
        control.onFleetChanged = limits::onFleetChanged
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
        Logger.info("step=DRAIN process={} is leaving; requests in progress: {}", self.process, inProgress.count)
        state = GatewayState.LEAVING
        loop.execute {
            control.membership.drain()
            control.tables.onStopping()
        }
        waitWhile(settings.stop.balancerSeconds) { true }
        state = GatewayState.CLOSED
        waitWhile(settings.stop.drainSeconds) { inProgress.count > 0 }
        val lost = explanations.handOver(clock.deadlineIn(HAND_OVER_MILLIS))
        val unregistered = java.util.concurrent.CountDownLatch(1)
        loop.execute { control.membership.stop { unregistered.countDown() } }
        unregistered.await(HAND_OVER_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS)
        Logger.info(
            "step=DRAIN process={} ends; requests cut off: {}; explanation records with too few copies: {}",
            self.process,
            inProgress.count,
            lost,
        )
        close()
    }

    private fun close() {
        server.close()
        peers.close()
        loop.close()
        channels.close()
        store.close()
    }

    private fun planOf(customer: CustomerId): Plan? {
        val view = control.config.current() as? ConfigView.InForce ?: return null
        return view.index.customer(customer)?.let { view.index.plan(it.plan) }
    }

    private fun waitWhile(
        seconds: Int,
        condition: () -> Boolean,
    ) {
        val until = clock.deadlineIn(seconds * MILLIS_PER_SECOND)
        while (condition() && !until.hasPassed(clock.monotonicMillis())) {
            java.util.concurrent.locks.LockSupport
                .parkNanos(WAIT_NANOS)
        }
    }

    private companion object {
        const val ID_CHARS = 8
        const val MILLIS_PER_SECOND = 1_000L
        const val HAND_OVER_MILLIS = 5_000L
        const val WAIT_NANOS = 20_000_000L
    }
}

/** The same settings with each port 0 replaced by a port that is free now. */
private fun ListenSettings.withPorts() = copy(port = orFree(port), peerPort = orFree(peerPort))

private fun orFree(port: Int): Int = if (port != 0) port else ServerSocket(0).use { it.localPort }
