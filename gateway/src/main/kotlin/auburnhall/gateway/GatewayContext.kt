/*
 * What the forwarding of requests shares within a process. All of it belongs to the traffic thread.
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
import auburnhall.routing.ReplicaFailureDetector
import auburnhall.routing.RetryBounds
import auburnhall.routing.RetryBudget
import auburnhall.routing.Router
import auburnhall.routing.TargetHealth
import auburnhall.routing.TargetKey
import auburnhall.routing.TargetTable

/** Told of replicas that look lost, so that others can be told. */
fun interface SuspicionListener {
    fun onSuspect(key: TargetKey)
}

/** The configuration and fleet that requests are served under, replaced as a whole. */
class GatewayState(
    val configuration: Configuration?,
    val targets: TargetTable,
) {
    companion object {
        val EMPTY = GatewayState(null, TargetTable(Fleet.EMPTY, emptyList(), emptyMap()))
    }
}

/** The thread that the gateway runs on, and its calls. */
class GatewayRuntime(
    val clock: Clock,
    val scheduler: Scheduler,
    val client: HttpClient,
)

/** Translates headers. */
class GatewayCodecs(
    val caller: CallerCodec,
    val worker: WorkerCodec,
)

/** Decides about requests. */
class GatewayRouting(
    val router: Router,
    val load: LoadTracker,
    val health: TargetHealth,
    val failureDetector: ReplicaFailureDetector,
    val admission: AdmissionPolicy,
)

/** Told of what happens. */
class GatewayObservers(
    val listener: EventListener,
    val metrics: GatewayMetrics,
    val onSuspect: SuspicionListener,
)

/** The retry budgets of the services. */
class RetryBudgets(
    private val clock: Clock,
    private val bounds: () -> RetryBounds,
    private val processes: () -> Int,
) {
    private val budgets = HashMap<String, RetryBudget>()

    /** The budget of [service]. */
    fun of(service: String): RetryBudget = budgets.getOrPut(service) { RetryBudget(clock, bounds, processes) }
}

/** The parts of the gateway. */
class GatewayContext(
    runtime: GatewayRuntime,
    val codecs: GatewayCodecs,
    decisions: GatewayRouting,
    reports: GatewayObservers,
    val budgets: RetryBudgets,
) {
    val clock = runtime.clock
    val scheduler = runtime.scheduler
    val client = runtime.client
    val router = decisions.router
    val load = decisions.load
    val health = decisions.health
    val failureDetector = decisions.failureDetector
    val admission = decisions.admission
    val listener = reports.listener
    val metrics = reports.metrics
    val onSuspect = reports.onSuspect

    /** What requests are served under now. */
    var state: GatewayState = GatewayState.EMPTY
}

/** Counts what callers got. */
interface GatewayMetrics {
    /** A request of [kind] was answered with [status] after [tookMs] milliseconds; [outcome] is a short constant. */
    fun onRequestEnded(
        kind: String,
        outcome: String,
        tookMs: Long,
    )

    /** A request was sent once more for [reason]. */
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
