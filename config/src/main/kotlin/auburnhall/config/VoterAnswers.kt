/*
 * What the other entry processes last said about their copies, and what follows from it for this process's copy.
 */
package auburnhall.config

import auburnhall.core.ProcessId
import java.util.concurrent.ConcurrentHashMap

/** The newest answer of each process. Written on the control thread, read on any. */
internal class VoterAnswers {
    /** [process] answered a request sent at [sentAt] that it knows [sequence] and nothing newer. */
    data class Answer(
        val sequence: Long,
        val sentAt: Long,
    )

    private val answers = ConcurrentHashMap<ProcessId, Answer>()

    /** Notes an answer; one to an earlier request than the newest answered, and a lower sequence, change nothing. */
    fun note(
        process: ProcessId,
        sequence: Long,
        sentAt: Long,
    ) {
        answers.merge(process, Answer(sequence, sentAt)) { old, new ->
            Answer(maxOf(old.sequence, new.sequence), maxOf(old.sentAt, new.sentAt))
        }
    }

    /** The highest sequence that [process] is known to know; 0 when it never answered. */
    fun sequenceOf(process: ProcessId): Long = answers[process]?.sequence ?: 0

    /** When the request was sent that [process] answered last; null when it never answered. */
    fun askedAt(process: ProcessId): Long? = answers[process]?.sentAt

    /** Forgets processes other than [processes]. */
    fun retain(processes: Set<ProcessId>) {
        answers.keys.retainAll(processes)
    }

    /**
     * The latest moment such that more than half of the voters of [stored], [self] among them at [nowMillis], were
     * asked at or after it and knew nothing newer; null when too few have ever answered so.
     */
    fun confirmedAt(
        stored: StoredConfiguration,
        self: ProcessId,
        nowMillis: Long,
    ): Long? {
        val times =
            stored.voters.processes.mapNotNull { voter ->
                if (voter == self) nowMillis else answers[voter]?.takeIf { it.sequence <= stored.sequence }?.sentAt
            }
        return times
            .sortedDescending()
            .withIndex()
            .firstOrNull { stored.voters.isMajority(it.index + 1) }
            ?.value
    }
}
