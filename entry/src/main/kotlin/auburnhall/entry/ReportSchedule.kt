/*
 * Decides when loads are sent to other processes: at once after a change if nothing was sent recently, and now and then
 * while nothing changes, in case a datagram was lost.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.routing.LoadsByHash

/** When the loads that one kind of message carries are sent. Traffic thread only. */
internal class ReportSchedule(
    private val clock: Clock,
) {
    private var last: LoadsByHash? = null
    private var sentAtMs = clock.nowMs() - REPEAT_MS

    /** When changed loads may be sent, at most every [periodMs] milliseconds. */
    fun nextChangeAtMs(periodMs: Long): Long = sentAtMs + periodMs

    /** When [current] is to be sent. */
    fun dueAtMs(
        current: LoadsByHash,
        periodMs: Long,
    ): Long = if (current == last) sentAtMs + REPEAT_MS else nextChangeAtMs(periodMs)

    /** [current] is being sent. */
    fun onSent(current: LoadsByHash) {
        last = current
        sentAtMs = clock.nowMs()
    }

    companion object {
        /** Time after which unchanged loads are sent again. */
        const val REPEAT_MS = 300L
    }
}
