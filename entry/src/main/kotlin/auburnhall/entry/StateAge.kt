/*
 * How recent the mirrored state is, by what its sources said. A source with an older state takes nothing away: the
 * state remains complete up to the time for which an earlier one vouched.
 */
package auburnhall.entry

import auburnhall.core.Clock

/** The age of the state of one process. Control thread only. */
internal class StateAge(
    private val clock: Clock,
) {
    private var upToDateAtMs: Long? = null

    /** Time, in milliseconds, since the state was last known to be complete; null before the first load. */
    val ageMs: Long? get() = upToDateAtMs?.let { clock.nowMs() - it }

    /** Whether the store is or recently was unavailable to the last source. */
    var sourceLostStore = false
        private set

    /** The state was loaded; it was complete [ageMs] milliseconds ago. */
    fun onLoaded(ageMs: Long) {
        upToDateAtMs = clock.nowMs() - ageMs
    }

    /** A source supplied [received]. */
    fun onConfirmed(received: ChangeBatch) {
        sourceLostStore = received.storeWasUnavailable
        val confirmedAtMs = clock.nowMs() - received.ageMs
        upToDateAtMs = maxOf(confirmedAtMs, upToDateAtMs ?: confirmedAtMs)
    }
}
