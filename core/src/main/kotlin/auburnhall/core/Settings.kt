/*
 * Settings of a process, read when it starts and again when they change.
 */
package auburnhall.core

/** The settings of an entry process. */
data class Settings(
    /** Unique among the processes of the system. */
    val processName: String,
    val dataCentre: String,
    /** IP address at which other processes reach this one. */
    val host: String,
    /** Listen address for callers. */
    val callerListenAddress: Address,
    /** Listen address for the readiness checks of the load balancer. */
    val readinessListenAddress: Address,
    /** Port for the traffic between processes, such as load reports. */
    val peerPort: Int,
    val storeAddress: Address,
    /** Shortest lease, in milliseconds, that the store grants. */
    val minLeaseMs: Long,
    /** Whether the whole system starts for the first time. */
    val firstStart: Boolean,
    val bounds: OperatorLimits,
    /** Port at which this process takes requests that others pass on; null if it and the others do not do so. */
    val helperPort: Int? = null,
)

/** Limits set by the operators. */
data class OperatorLimits(
    /** Time, in milliseconds, from SIGTERM to SIGKILL. */
    val graceMs: Long,
    /** Retries allowed per request. */
    val retryRatio: Double,
    /** Retries allowed in addition, per window. */
    val extraRetries: Int,
    /** The window of the retry budget, in milliseconds. */
    val retryWindowMs: Long,
    /** Time, in milliseconds, within which an evacuation of a data centre is to be in force; null if not set. */
    val evacuateMs: Long? = null,
    /** A cold worker must get fewer requests a second than its rate times this, plus [coldSlack]. */
    val coldOverage: Double = 1.5,
    val coldSlack: Double = 5.0,
)
