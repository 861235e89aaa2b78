/*
 * How much of a model its callers ask for, over all processes. The controller plans replicas by it.
 */
package auburnhall.core

/** The demand for one model of a service at one moment. */
data class ModelDemand(
    /** Requests in progress at its replicas, over all processes. */
    val slotsInUse: Int,
    /** Requests that wait for a slot. */
    val waiting: Int,
    /** Slots of its open replicas. */
    val slots: Int,
) {
    /** Share of the slots in use, 0 or more; 1 while no replica is open. */
    val utilization: Double get() = if (slots == 0) 1.0 else slotsInUse.toDouble() / slots
}
