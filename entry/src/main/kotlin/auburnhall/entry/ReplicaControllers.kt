/*
 * Runs the controllers of the replicas while this process leads.
 */
package auburnhall.entry

import auburnhall.core.log
import auburnhall.platform.WorkerClient
import auburnhall.replica.ControlThreadStall
import auburnhall.replica.ControllerContext
import auburnhall.replica.ControllerTerm
import auburnhall.replica.Order
import auburnhall.replica.ReplicaController
import auburnhall.replica.ReplicaEpoch
import auburnhall.replica.ReplicaListener

/** One controller for each service with model workers. Control thread only. */
class ReplicaControllers(
    private val view: StoreView,
    private val workers: WorkerClient,
    private val context: ControlContext,
    private val replicas: ReplicaListener,
) {
    private val controllers = HashMap<String, ReplicaController>()
    private var term: ControllerTerm? = null
    private var due = false
    private val controlStall = ControlThreadStall(context.clock)

    /** Whether this process may still give orders. */
    var mayOrder: () -> Boolean = { false }

    /** A term begins or, with null, ends. */
    fun onTerm(begun: ControllerTerm?) {
        term = begun
        controllers.clear()
    }

    /** A replica has fallen silent. */
    fun onSuspect(key: ReplicaEpoch) {
        controllers.values.forEach { it.onSuspect(key) }
        decideSoon()
    }

    /** The control thread was held up for [ms] milliseconds. */
    fun onHeldUp(ms: Long) {
        if (controllers.isEmpty()) return
        context.events.log("control.held_up", "late_ms" to ms)
        controlStall.record()
    }

    /** Part of the slots of each model that is taken, by service and model. */
    fun onSlotUtilization(counted: Map<String, Map<String, Double>>) {
        controllers.forEach { (service, controller) -> controller.slotUtilization = counted[service].orEmpty() }
    }

    /** Lets every controller decide. */
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
                        ControllerContext(service.name, context.clock, current, context.events, replicas, controlStall),
                    )
                }
            controller.tick(view.fleet, engine, view.tracker(service.name)).forEach { send(controller, it) }
        }
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

    /** Decides without waiting for the next tick; several results that come together are decided on at once. */
    private fun decideSoon() {
        if (due) return
        due = true
        context.scheduler.after(SOON_MS) {
            due = false
            decide()
        }
    }

    private companion object {
        const val SOON_MS = 5L
    }
}
