/*
 * Groups targets by what they serve: requests of a pool compete for the same slots.
 */
package auburnhall.routing

/** The targets that serve the same requests: those of a plain service, or of one model of a service. */
data class TargetPool(
    val service: String,
    /** Null for a plain service. */
    val model: String?,
)
