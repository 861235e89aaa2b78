/*
 * One attempt at one replica, and the slot that holds the attempt in progress. The slot ends each attempt exactly once,
 * whoever comes first: the thread that serves the answer, or the one that notices that the caller hung up.
 */
package auburnhall.gateway

import auburnhall.core.Deadline
import auburnhall.engine.ChatStream
import auburnhall.limits.AdmissionTicket
import auburnhall.limits.TicketOutcome

/**
 * A request running at a replica.
 *
 * @property nextBy when the next event is due.
 * @property tokensBefore tokens delivered by earlier attempts.
 * @property tokens tokens that came of this attempt.
 */
internal class Attempt(
    val ticket: AdmissionTicket,
    val stream: ChatStream,
    var nextBy: Deadline,
    val tokensBefore: Int = 0,
    var tokens: Int = 0,
) {
    /** The instance that the attempt talks to. */
    val peer: String get() = ticket.replica.replica.leader.value
}

/** Holds the attempt in progress. Any thread may call it. */
internal class AttemptSlot : AutoCloseable {
    private val lock = Any()
    private var current: Attempt? = null
    private var closed = false

    /** Whether the caller has gone. */
    val isClosed: Boolean get() = synchronized(lock) { closed }

    /** The attempt in progress; null when there is none. */
    fun current(): Attempt? = synchronized(lock) { current }

    /** Holds [attempt] as the one in progress; ends it at once and returns false when the caller has gone. */
    fun install(attempt: Attempt): Boolean {
        val accepted =
            synchronized(lock) {
                if (!closed) current = attempt
                !closed
            }
        if (!accepted) release(attempt, TicketOutcome.CANCELLED)
        return accepted
    }

    /** Ends [attempt] and returns true, unless another thread did. */
    fun end(
        attempt: Attempt,
        outcome: TicketOutcome,
    ): Boolean {
        val mine =
            synchronized(lock) {
                val same = current === attempt
                if (same) current = null
                same
            }
        if (mine) release(attempt, outcome)
        return mine
    }

    /** Cancels the attempt in progress; none begins afterwards. */
    override fun close() {
        val attempt =
            synchronized(lock) {
                closed = true
                current
            }
        if (attempt != null) end(attempt, TicketOutcome.CANCELLED)
    }

    private fun release(
        attempt: Attempt,
        outcome: TicketOutcome,
    ) {
        try {
            attempt.stream.close()
        } finally {
            attempt.ticket.finish(outcome, attempt.tokens)
        }
    }
}
