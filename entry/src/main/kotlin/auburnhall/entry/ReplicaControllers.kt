/*
 * Runs the replica controllers while this process is the elected controller, and sends their orders to the workers.
 */
package auburnhall.entry

import auburnhall.core.ModelDemand
import auburnhall.core.log
import auburnhall.platform.WorkerClient
import auburnhall.replica.ControlThreadStall
import auburnhall.replica.ControllerContext
import auburnhall.replica.ControllerTerm
import auburnhall.replica.ModelStatus
import auburnhall.replica.Order
import auburnhall.replica.ReplicaController
import auburnhall.replica.ReplicaEpoch
import auburnhall.replica.ReplicaListener

/** One replica controller for each service that has an engine profile. Control thread only. */
class ReplicaControllers(
    private val view: StoreView,
    private val workers: WorkerClient,
    private val context: ControlContext,
    private val listener: ReplicaListener,
) {
    private val controllers = HashMap<String, ReplicaController>()

    /** The term of this process as the controller; null while it is not. */
    var term: ControllerTerm? = null
        private set

    /** The status of the models while this process is the controller, else empty. May be read on any thread. */
    @Volatile
    var status: List<ModelStatus> = emptyList()
        private set
    private var decisionScheduled = false
    private val controlStall = ControlThreadStall(context.clock)

    /** The data centres that are evacuated; those in the store as long as null. */
    var evacuated: Set<String>? = null

    /** Whether this process may send orders now: its leadership lease is valid. */
    var mayOrder: () -> Boolean = { false }

    /** A term begins or, with null, ends; discards the state of the replica controllers. */
    fun onTerm(newTerm: ControllerTerm?) {
        term = newTerm
        controllers.clear()
        status = emptyList()
    }

    /** The replica [key] is suspected to have failed; it is probed without waiting for the next tick. */
    fun onSuspect(key: ReplicaEpoch) {
        controllers.values.forEach { it.onSuspect(key) }
        decideSoon()
    }

    /** The control thread was stalled for [stallMs] milliseconds, so that worker responses may have waited unread. */
    fun onStall(stallMs: Long) {
        if (controllers.isEmpty()) return
        context.events.log("control.held_up", "late_ms" to stallMs)
        controlStall.record()
    }

    /** The demand for the models at present, by service and model. */
    fun onDemand(demand: Map<String, Map<String, ModelDemand>>) {
        controllers.forEach { (service, controller) -> controller.demand = demand[service].orEmpty() }
    }

    /** Runs every replica controller and sends the orders that it returns. */
    fun decide() {
        val current = term?.takeIf { mayOrder() } ?: return
        for (service in view.configuration
            ?.services
            ?.values
            .orEmpty()) {
            val engine = service.engine ?: continue
            val controller =
                controllers.getOrPut(service.name) {
                    ReplicaController(
                        ControllerContext(service.name, context.clock, current, context.events, listener, controlStall),
                    )
                }
            controller.evacuated = evacuated ?: view.evacuated.begun.keys
            controller.tick(view.fleet, engine, view.tracker(service.name)).forEach { send(controller, it) }
        }
        status = controllers.values.flatMap { it.status }
    }

    private fun send(
        controller: ReplicaController,
        order: Order,
    ) {
        if (order !is Order.Probe) {
            val name = order.javaClass.simpleName
            context.events.log(
                "order.sent",
                "order" to name,
                "worker" to order.worker.id,
                "fleet" to view.fleet.revision,
            )
        }
        workers.send(order) {
            controller.onResult(order, it)
            decideSoon()
        }
    }

    /** Calls [decide] before the next tick; several results that arrive together cause a single call. */
    private fun decideSoon() {
        if (decisionScheduled) return
        decisionScheduled = true
        context.scheduler.after(DECISION_DELAY_MS) {
            decisionScheduled = false
            decide()
        }
    }

    private companion object {
        const val DECISION_DELAY_MS = 5L
    }
}
