/*
 * Spreads the claims of the controller key: of many processes that see it vacant at the same time, few should call the
 * store, and one that was too slow not again at once.
 */
package auburnhall.entry

/** What this process knows of the election. */
interface ElectionState {
    /** Whether no process is known to hold the controller key. */
    val vacant: Boolean

    /** Number of known processes, this one included. */
    val processes: Int
}

/** Calls [claim] when this process is to claim the controller key. Control thread only. */
internal class ClaimTimer(
    private val context: ControlContext,
    private val election: ElectionState,
    private val claim: () -> Unit,
) {
    private var pending = false
    private var pausedUntilMs = 0L

    /**
     * Claims after a random delay, unless another process is seen to hold the key by then; does nothing while a claim
     * is pending. The delays grow with the number of processes.
     */
    fun schedule() {
        if (pending || context.clock.nowMs() < pausedUntilMs) return
        pending = true
        val maxDelayMs = (election.processes * CLAIM_SPACING_MS).coerceIn(MIN_CLAIM_DELAY_MS, MAX_CLAIM_DELAY_MS)
        context.scheduler.after(context.random.nextLong(maxDelayMs)) {
            if (election.vacant && context.clock.nowMs() >= pausedUntilMs) claim() else pending = false
        }
    }

    /** The claim took effect. */
    fun onSucceeded() {
        pending = false
    }

    /** Makes no claim for [ms] milliseconds. */
    fun pause(ms: Long) {
        pausedUntilMs = maxOf(pausedUntilMs, context.clock.nowMs() + ms)
    }

    /** The claim failed or may have failed; the next one is made after a pause. */
    fun onFailed() {
        pending = false
        pause(CLAIM_PAUSE_MS)
    }

    private companion object {
        /** Mean time between the claims of two processes; about the time after which the others see the first one. */
        const val CLAIM_SPACING_MS = 8L
        const val MIN_CLAIM_DELAY_MS = 200L
        const val MAX_CLAIM_DELAY_MS = 1_000L

        /** Pause after a claim that failed; by then the mirror shows the process that was faster. */
        const val CLAIM_PAUSE_MS = 400L
    }
}
