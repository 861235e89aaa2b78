/*
 * Which workers are cold, by their entries: those that appear, restart or return after the entries of the store were
 * first read, and those whose entry says so. Designed for many workers that return at once, such as those of a data
 * centre. Workers that are found at the first reading have been there before, so they are cold only if they say so.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.ColdSource
import auburnhall.core.ColdState
import auburnhall.core.Worker
import auburnhall.platform.WorkerEntry

/** The latest sign of coldness of each worker. Control thread only. */
internal class WorkerColdness(
    private val clock: Clock,
) {
    private val states = HashMap<String, ColdState>()
    private var listed = false

    /** All entries were read once. */
    fun onListed() {
        listed = true
    }

    /** A worker has written [entry] over [before]; [returned] if its last entry had been removed some time ago. */
    fun onEntry(
        entry: WorkerEntry,
        before: WorkerEntry?,
        returned: Boolean,
    ) {
        val stated = entry.coldRemainingMs?.let { ColdState(ColdSource.ENTRY, clock.nowMs(), it) }
        val state = if (entry.repeats(before)) null else stated ?: impliedBy(entry, before, returned)
        if (state != null) states[entry.worker.id] = state
    }

    /** The entry of [worker] was removed. */
    fun onRemoved(worker: Worker) {
        states.remove(worker.id)
    }

    /** The latest signs by worker ID. */
    fun snapshot(): Map<String, ColdState> = HashMap(states)

    /** Whether this is [before] read again, as from a restored store; how long the worker stays cold is older then. */
    private fun WorkerEntry.repeats(before: WorkerEntry?) = write > 0 && this == before

    private fun impliedBy(
        entry: WorkerEntry,
        before: WorkerEntry?,
        returned: Boolean,
    ): ColdState? {
        val source =
            when {
                before == null && returned -> ColdSource.RETURNED
                before == null && listed -> ColdSource.APPEARED
                before != null && before.worker.startedAtUnixMs != entry.worker.startedAtUnixMs -> ColdSource.RESTARTED
                else -> null
            }
        return source?.let { ColdState(it, clock.nowMs()) }
    }
}
