/*
 * The traffic thread: serves callers through the gateway and exchanges messages with the other processes.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.Replica
import auburnhall.core.Settings
import auburnhall.core.StoredEvacuations
import auburnhall.gateway.FilterChain
import auburnhall.gateway.Gateway
import auburnhall.gateway.GatewayCodecs
import auburnhall.gateway.GatewayContext
import auburnhall.gateway.GatewayGuards
import auburnhall.gateway.GatewayObservers
import auburnhall.gateway.GatewayRouting
import auburnhall.gateway.GatewayRuntime
import auburnhall.gateway.GatewayState
import auburnhall.gateway.Helper
import auburnhall.gateway.Helpers
import auburnhall.gateway.PassedOnRequests
import auburnhall.gateway.RetryBudgets
import auburnhall.http.EventLoopScheduler
import auburnhall.http.HttpClient
import auburnhall.http.HttpServer
import auburnhall.http.newEventLoop
import auburnhall.platform.PlatformCallerCodec
import auburnhall.platform.PlatformWorkerCodec
import auburnhall.routing.AdmissionPolicy
import auburnhall.routing.ColdBound
import auburnhall.routing.ColdWorkers
import auburnhall.routing.DemandShare
import auburnhall.routing.EvenShare
import auburnhall.routing.LoadTracker
import auburnhall.routing.PartGuard
import auburnhall.routing.PartGuardRuntime
import auburnhall.routing.PartVerdicts
import auburnhall.routing.ReplicaFailureDetector
import auburnhall.routing.RetryBounds
import auburnhall.routing.Router
import auburnhall.routing.TargetHealth
import auburnhall.routing.TargetTable
import auburnhall.routing.UnreportedRequests
import auburnhall.routing.WorkerLimits
import auburnhall.routing.WorkerNotices
import auburnhall.routing.WorkerReachability
import io.netty.channel.EventLoop
import kotlin.random.Random

/** Owns the components of the traffic thread; [settings] returns the current settings. */
class TrafficPlane(
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
    val scheduler = EventLoopScheduler(loop)
    private val load = LoadTracker(clock)

    /** When the store was last known to answer any process. */
    val sightings = StoreSightings(clock)
    private val unreported = UnreportedRequests { peerMessenger.processes }
    private val health = TargetHealth(clock)
    private val failureDetector = ReplicaFailureDetector(clock)

    /** Decides which parts of prompts crash workers. */
    val verdicts = PartVerdicts(PartGuardRuntime(clock, scheduler, random::nextDouble), listener)
    private val share =
        DemandShare(clock, load, { peerMessenger.processes }) { context.state.targets.of(it.worker.service, it.model) }
    private val evenShare = EvenShare(settings().processName, clock)
    private val coldWorkers =
        ColdWorkers(
            clock,
            evenShare,
            { settings().bounds.let { ColdBound(it.coldOverage, it.coldSlack) } },
            listener,
        )
    private val limits = WorkerLimits(clock, share, coldWorkers) { peerMessenger.phase }
    private val guards = GatewayGuards(PartGuard(clock, verdicts, listener), limits, WorkerNotices(clock, listener))
    private val client = HttpClient(loop, clock)
    private val reachability = WorkerReachability(clock, scheduler, listener)
    private val helpers =
        Helpers(
            clock,
            random,
            helperOf(settings().processName, settings().host, settings().dataCentre),
            HttpClient(loop, clock),
        )
    private val context: GatewayContext =
        GatewayContext(
            GatewayRuntime(clock, scheduler, client, reachability, helpers),
            GatewayCodecs(PlatformCallerCodec, PlatformWorkerCodec),
            GatewayRouting(
                Router(load, health, settings().dataCentre, random, unreported, client::hasIdleConnection),
                load,
                unreported,
                health,
                failureDetector,
                AdmissionPolicy { random.nextDouble() },
            ),
            GatewayObservers(listener, metrics) { peerMessenger.reportStatus(it, ReplicaStatus.SUSPECT) },
            RetryBudgets(clock, ::retryBounds) { peerMessenger.processes },
            guards,
        )

    /** Exchanges load reports and replica status with the other processes. */
    val peerMessenger: PeerMessenger =
        PeerMessenger(
            settings(),
            loop,
            PeerRuntime(clock, scheduler, random, sightings),
            listener,
            RoutingState(
                load,
                health,
                failureDetector,
                { context.state.targets },
                onSuspect,
            ) { gateway.onReplicaLost() },
            guards,
        )

    /** Serves callers' requests. */
    val gateway: Gateway = Gateway(context, FilterChain({ context.state.configuration }, random) { gateway.stop })

    /** Called on the traffic thread with the evacuated data centres when they have changed. */
    var onEvacuated: (Set<String>) -> Unit = { }

    /** The server that callers connect to. */
    val callers = HttpServer(loop, clock, ::limits, gateway)

    private val passedOn = PassedOnRequests(context, gateway)

    /** The server that other processes pass requests on to. */
    val helped = HttpServer(loop, clock, { limits().withOwnHeader() }, passedOn).also { it.shareMemory(callers) }

    /** Whether a configuration is known. */
    val configured: Boolean get() = context.state.configuration != null

    init {
        peerMessenger.evacuations.onChange = { dataCentres ->
            coldWorkers.onEvacuationEnded(context.state.targets.evacuated - dataCentres)
            gateway.update(context.state.without(dataCentres))
            onEvacuated(dataCentres)
        }
        client.onConnected = reachability::onHeard
        val observer = ConnectionObserver(listener, metrics)
        observer.observe(callers)
        observer.observe(helped)
        observer.observe(client)
        metrics.connections(callers, client)
        metrics.requests(context, gateway)
        metrics.passedOnRequests(context, passedOn)
        metrics.restrictedWorkers(limits, coldWorkers)
    }

    /** Binds the ports and starts to exchange load reports; call once, not on the traffic thread. */
    fun start() {
        callers.bind(settings().callerListenAddress).sync()
        settings().helperPort?.let { helped.bind(Address(settings().host, it)).sync() }
        scheduler.run { peerMessenger.start(settings().host) }
    }

    /**
     * Serves requests by [configuration] and [targets], the workers of [fleet], less what is evacuated; [evacuated] is
     * what the store says.
     */
    fun update(
        configuration: Configuration,
        fleet: Fleet,
        targets: TargetTable,
        evacuated: StoredEvacuations,
    ) {
        peerMessenger.evacuations.onStored(evacuated)
        coldWorkers.onFleet(fleet, configuration.services.values)
        gateway.update(GatewayState(configuration, targets.without(peerMessenger.evacuations.dataCentres)))
    }

    /** The other processes are [peers]. */
    fun onPeers(peers: Map<String, PeerProcess>) {
        evenShare.onPeers(peers.keys)
        peerMessenger.onPeers(peers)
        val reachable = if (settings().helperPort == null) emptyMap() else peers
        helpers.onProcesses(reachable.map { (name, process) -> helperOf(name, process.host, process.dataCentre) })
    }

    private fun retryBounds(): RetryBounds =
        settings().bounds.let { RetryBounds(it.retryRatio, it.retryWindowMs, it.extraRetries) }

    /** Processes share the port to which requests are passed on; port 0 stands for none. */
    private fun helperOf(
        process: String,
        host: String,
        dataCentre: String,
    ) = Helper(process, Address(host, settings().helperPort ?: 0), dataCentre)

    /** The limits of requests that were passed on, which have a header more. */
    private fun CallerLimits.withOwnHeader() = copy(maxHeaderBytes = maxHeaderBytes + OWN_HEADER_BYTES)

    private fun limits(): CallerLimits = context.state.configuration?.limits ?: CallerLimits.DEFAULT

    private companion object {
        /** More than the name of a process and a number take. */
        const val OWN_HEADER_BYTES = 512
    }
}
