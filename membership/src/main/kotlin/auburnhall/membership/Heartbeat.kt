/*
 * What entry processes tell each other every second: that they live, whom they have heard lately, and how current
 * their copy of the configuration is.
 */
package auburnhall.membership

import auburnhall.core.ProcessId
import auburnhall.core.StepError

/**
 * State of a process's copy of the configuration.
 *
 * @property sequence sequence number of the newest copy the process has ever had; 0 when it has had none.
 * @property confirmedAgeMillis time since that copy was last confirmed to be the newest; null when it never was.
 */
data class CopyState(
    val sequence: Long,
    val confirmedAgeMillis: Long?,
) {
    companion object {
        /** The state of a process that has no copy. */
        val NONE = CopyState(0, null)
    }
}

/** A sign of life of [process], [ageMillis] old, passed on by a third process. */
data class HeardProcess(
    val process: ProcessId,
    val ageMillis: Long,
    val draining: Boolean,
)

/** Sent to a peer, and its answer. Both sides say the same of themselves. */
data class Heartbeat(
    val process: ProcessId,
    val draining: Boolean,
    val copy: CopyState,
    val heard: List<HeardProcess> = emptyList(),
)

/** Outcome of a heartbeat. */
sealed interface HeartbeatResult {
    /** The process at the peer's address answered; it may be another one than was expected there. */
    data class Success(
        val reply: Heartbeat,
    ) : HeartbeatResult

    /** No answer came in time. */
    data class Error(
        val error: StepError,
    ) : HeartbeatResult
}

/** How heartbeats reach other entry processes. */
interface MembershipPeers {
    /** Sends [heartbeat] to [peer] and waits for its answer, at most about a second. */
    fun heartbeat(
        peer: Member,
        heartbeat: Heartbeat,
    ): HeartbeatResult
}

/** The part of heartbeats that concerns the configuration. */
interface CopyExchange {
    /** State of this process's copy; called on any thread. */
    fun state(): CopyState

    /** [peer] answered a request sent at [sentAtMillis] with [state]; called on the control thread. */
    fun onReply(
        peer: Member,
        state: CopyState,
        sentAtMillis: Long,
    )

    /** [peer] sent a request with [state]; called on the control thread. */
    fun onRequest(
        peer: Member,
        state: CopyState,
    )

    /** Exchanges nothing. */
    object None : CopyExchange {
        override fun state(): CopyState = CopyState.NONE

        override fun onReply(
            peer: Member,
            state: CopyState,
            sentAtMillis: Long,
        ) = Unit

        override fun onRequest(
            peer: Member,
            state: CopyState,
        ) = Unit
    }
}
