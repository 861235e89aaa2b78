/*
 * Load as another process has reported it, which counts for a limited time.
 */
package auburnhall.routing

/** Load by the hash of the target's key. */
typealias LoadsByHash = Map<Int, TargetLoad>

/** A report with [loads] that arrived at [receivedAtMs], in milliseconds of the monotonic clock. */
internal class ReceivedLoad(
    val loads: LoadsByHash,
    receivedAtMs: Long,
) {
    private val validUntilMs = receivedAtMs + VALID_MS

    /** Whether the report still counts at [now]. */
    fun isValid(now: Long): Boolean = now < validUntilMs

    private companion object {
        /** Several times the interval at which processes repeat unchanged load reports. */
        const val VALID_MS = 1_500L
    }
}
