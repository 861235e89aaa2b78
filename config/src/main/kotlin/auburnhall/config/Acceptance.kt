/*
 * Decides when a stored change is accepted: when no process can serve under an earlier version any more.
 */
package auburnhall.config

import auburnhall.core.Deadline
import auburnhall.core.ProcessId
import auburnhall.core.deadlineIn

/**
 * Waits for a change to be accepted. That is so once the voters who do not know it yet are too few to extend an earlier
 * copy, and what was extended before has expired. A voter that is no longer registered counts as knowing it.
 */
internal class Acceptance(
    private val on: ChangeDependencies,
) {
    /** How the waiting ended. */
    sealed interface Outcome {
        /** No process serves under an earlier version any more. */
        data object Accepted : Outcome

        /** [unconfirmed] have not confirmed the change, and might serve under an earlier version. */
        data class Pending(
            val unconfirmed: List<ProcessId>,
        ) : Outcome
    }

    /** Waits at most [ACCEPT_WITHIN_MILLIS] until [stored], which is in the store, is accepted. */
    fun await(stored: StoredConfiguration): Outcome {
        val giveUp = on.clock.deadlineIn(ACCEPT_WITHIN_MILLIS)
        var registered = registeredProcesses(on.store)
        var expired = if (stored.configuration.version == 1L) Deadline.PASSED else null
        while (!isOver(expired) && !giveUp.hasPassed(on.clock.monotonicMillis())) {
            if (expired == null && !canExtend(stored, registered)) expired = on.clock.deadlineIn(COPY_GONE_MILLIS)
            on.confirmations.ask(unconfirmed(stored, registered))
            on.pause.forMillis(POLL_MILLIS)
            if (expired == null) registered = registeredProcesses(on.store) ?: registered
        }
        return if (isOver(expired)) Outcome.Accepted else Outcome.Pending(unconfirmed(stored, registered))
    }

    private fun isOver(deadline: Deadline?) = deadline?.hasPassed(on.clock.monotonicMillis()) == true

    private fun canExtend(
        stored: StoredConfiguration,
        registered: List<ProcessId>?,
    ): Boolean {
        val isPast = { p: ProcessId -> knows(p, stored) || (registered != null && p !in registered) }
        return stored.electorates.any { it.canExtend(isPast) }
    }

    private fun unconfirmed(
        stored: StoredConfiguration,
        registered: List<ProcessId>?,
    ) = (registered ?: stored.voters.processes).filterNot { knows(it, stored) }

    private fun knows(
        process: ProcessId,
        stored: StoredConfiguration,
    ) = on.confirmations.sequenceOf(process) >= stored.sequence

    internal companion object {
        const val ACCEPT_WITHIN_MILLIS = 16_000L
        const val POLL_MILLIS = 250L
    }
}
