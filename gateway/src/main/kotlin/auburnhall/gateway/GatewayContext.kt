/*
 * Objects that all requests of a process share while they are forwarded. Used on the traffic thread only.
 */
package auburnhall.gateway

import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.Scheduler
import auburnhall.http.HttpClient
import auburnhall.routing.AdmissionPolicy
import auburnhall.routing.LoadTracker
import auburnhall.routing.PartGuard
import auburnhall.routing.ReplicaFailureDetector
import auburnhall.routing.RetryBounds
import auburnhall.routing.RetryBudget
import auburnhall.routing.Router
import auburnhall.routing.Target
import auburnhall.routing.TargetHealth
import auburnhall.routing.TargetKey
import auburnhall.routing.TargetTable
import auburnhall.routing.UnreportedRequests
import auburnhall.routing.WorkerLimits
import auburnhall.routing.WorkerNotices
import auburnhall.routing.WorkerReachability

/** Called when a replica is suspected to have failed, so that the other processes can be notified. */
fun interface SuspicionListener {
    fun onSuspect(key: TargetKey)
}

/** Snapshot of the configuration and the targets by which requests are served; replaced as a whole. */
class GatewayState(
    val configuration: Configuration?,
    val targets: TargetTable,
) {
    /** This state when the data centres [evacuated] are, and no others. */
    fun without(evacuated: Set<String>) = GatewayState(configuration, targets.without(evacuated))

    companion object {
        val EMPTY = GatewayState(null, TargetTable(Fleet.EMPTY, emptyList(), emptyMap()))
    }
}

/** Clock, scheduler and HTTP client of the traffic thread, whether the client reaches workers, and who helps if not. */
class GatewayRuntime(
    val clock: Clock,
    val scheduler: Scheduler,
    val client: HttpClient,
    val reachability: WorkerReachability,
    val helpers: Helpers,
)

/** Codecs for the headers of callers and workers. */
class GatewayCodecs(
    val caller: CallerCodec,
    val worker: WorkerCodec,
)

/** Chooses targets, admits requests and detects failed targets. */
class GatewayRouting(
    val router: Router,
    val load: LoadTracker,
    val unreported: UnreportedRequests,
    val health: TargetHealth,
    val failureDetector: ReplicaFailureDetector,
    val admission: AdmissionPolicy,
)

/** Receivers of log events, metrics and suspected replicas. */
class GatewayObservers(
    val listener: EventListener,
    val metrics: GatewayMetrics,
    val suspicionListener: SuspicionListener,
)

/** Retry budgets by service, each created on first use. */
class RetryBudgets(
    private val clock: Clock,
    private val bounds: () -> RetryBounds,
    private val processCount: () -> Int,
) {
    private val budgets = HashMap<String, RetryBudget>()

    /** The budget of [service]. */
    fun of(service: String): RetryBudget = budgets.getOrPut(service) { RetryBudget(clock, bounds, processCount) }
}

/** Keeps requests from targets that would be harmed: by what is asked, or by how much. */
class GatewayGuards(
    val parts: PartGuard,
    val limits: WorkerLimits,
    val notices: WorkerNotices,
)

/** The shared objects of the gateway. */
class GatewayContext(
    runtime: GatewayRuntime,
    val codecs: GatewayCodecs,
    routing: GatewayRouting,
    observers: GatewayObservers,
    val budgets: RetryBudgets,
    guards: GatewayGuards,
) {
    val clock = runtime.clock
    val scheduler = runtime.scheduler
    val client = runtime.client
    val reachability = runtime.reachability
    val helpers = runtime.helpers
    val router = routing.router
    val load = routing.load
    val unreported = routing.unreported
    val health = routing.health
    val failureDetector = routing.failureDetector
    val admission = routing.admission
    val parts = guards.parts
    val limits = guards.limits
    val notices = guards.notices
    val listener = observers.listener
    val metrics = observers.metrics
    val suspicionListener = observers.suspicionListener

    val buffers = ResponseBuffers()

    /** The current configuration and targets. */
    var state: GatewayState = GatewayState.EMPTY

    /** Time, in milliseconds, until [target] takes a request from this process; 0 if it does now. */
    fun waitMs(target: Target): Long = maxOf(limits.waitMs(target), notices.waitMs(target))
}

/** Metrics of requests. */
interface GatewayMetrics {
    /** A request of [kind] ended with [outcome], a short constant, [tookMs] milliseconds after it was received. */
    fun onRequestEnded(
        kind: String,
        outcome: String,
        tookMs: Long,
    )

    /** A request was retried because of [reason]. */
    fun onRetry(reason: String)

    companion object {
        val NONE =
            object : GatewayMetrics {
                override fun onRequestEnded(
                    kind: String,
                    outcome: String,
                    tookMs: Long,
                ) = Unit

                override fun onRetry(reason: String) = Unit
            }
    }
}
