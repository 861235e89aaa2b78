/*
 * Decides when loads are sent to other processes: at once after a change if nothing was sent recently, and now and then
 * while nothing changes, in case a datagram was lost.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.routing.LoadsByHash
import auburnhall.routing.WaitingByPool

/** Leases that a process has received: the highest number, and those that it has not used. */
internal data class LeaseReceipt(
    val received: Int,
    val unused: List<Int>,
)

/** What one report says. */
internal data class ReportContent(
    val loads: LoadsByHash,
    val waiting: WaitingByPool = emptyMap(),
    /** Leased slots by target hash; null in the report of one process, or where no leases are granted. */
    val reserved: Map<Int, Int>? = null,
    /** Null in totals. */
    val leases: LeaseReceipt? = null,
)

/** When the loads that one kind of message carries are sent. Traffic thread only. */
internal class ReportSchedule(
    private val clock: Clock,
) {
    private var last: ReportContent? = null
    private var sentAtMs = clock.nowMs() - REPEAT_MS

    /** When changed loads may be sent, at most every [periodMs] milliseconds. */
    fun nextChangeAtMs(periodMs: Long): Long = sentAtMs + periodMs

    /** When [current] is to be sent. */
    fun dueAtMs(
        current: ReportContent,
        periodMs: Long,
    ): Long = if (current == last) sentAtMs + REPEAT_MS else nextChangeAtMs(periodMs)

    /** [current] is being sent. */
    fun onSent(current: ReportContent) {
        last = current
        sentAtMs = clock.nowMs()
    }

    companion object {
        /** Time after which unchanged loads are sent again. */
        const val REPEAT_MS = 300L
    }
}
