/*
 * What a process is told when it starts, and again when the settings change.
 */
package auburnhall.core

/** The settings of an entry process. */
data class Settings(
    /** Unique among the processes of the system. */
    val processName: String,
    val dataCentre: String,
    /** The address that peers reach it at. */
    val host: String,
    /** Where callers connect. */
    val callerListenAddress: Address,
    /** Where the balancer asks whether the process takes callers. */
    val readinessListenAddress: Address,
    /** Where processes of the system tell each other their load. */
    val peerPort: Int,
    val storeAddress: Address,
    /** Shortest lease, in milliseconds, that the store grants. */
    val minLeaseMs: Long,
    /** Whether the whole system starts for the first time. */
    val firstStart: Boolean,
    val bounds: OperatorLimits,
)

/** Bounds that the operators state. */
data class OperatorLimits(
    /** Time, in milliseconds, from SIGTERM to SIGKILL. */
    val graceMs: Long,
    /** Second tries that are allowed for each request. */
    val retryRatio: Double,
    /** Second tries that are allowed besides, in a window. */
    val extraRetries: Int,
    /** The window of the retry budget, in milliseconds. */
    val retryWindowMs: Long,
)
