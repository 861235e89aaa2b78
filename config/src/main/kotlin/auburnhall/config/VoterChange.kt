/*
 * Keeps the voters that the stored configuration names in step with the registered entry processes.
 */
package auburnhall.config

import auburnhall.core.Deadline
import auburnhall.core.ProcessId
import auburnhall.core.deadlineIn
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import auburnhall.store.WriteResult

/** A copy may have been confirmed this long after the last moment at which it could be; includes drift of clocks. */
const val COPY_GONE_MILLIS = COPY_VALID_MILLIS + 500L

/**
 * Tells whether enough voters could still extend a copy of an earlier value. [isPast] tells that a process knows a
 * newer one, or is gone.
 */
internal fun VoterSet.canExtend(isPast: (ProcessId) -> Boolean): Boolean = isMajority(processes.count { !isPast(it) })

/**
 * Writes a new set of voters when processes have come or gone. One process does so, and a set replaces another only
 * once no copy can be extended by the one before. Used on the control thread only.
 */
internal class VoterChange(
    private val on: ConfigDependencies,
    private val holder: CopyHolder,
) {
    private data class Seen(
        val stored: StoredConfiguration,
        val revision: Long,
        val registered: List<ProcessId>,
        val readAt: Long,
    )

    private data class Settling(
        val sequence: Long,
        val until: Deadline,
    )

    private var busy = false
    private var settling: Settling? = null

    /** Looks whether the voters are out of date, and goes one step towards changing them. */
    fun check() {
        val copy = holder.copy ?: return
        val view = on.membership.view()
        val isCurrent = copy.stored.voters.processes == view.members.map { it.process }
        if (busy || isCurrent || view.ranked(VOTERS_KEY).first() != view.self) return
        busy = true
        on.loop.call({ read() }) { seen ->
            busy = false
            if (seen != null) onRead(seen)
        }
    }

    private fun read(): Seen? {
        val readAt = on.clock.monotonicMillis()
        val registered = registeredProcesses(on.store)
        val entry = (on.store.get(Keys.CONFIGURATION) as? ReadResult.Success)?.entries?.firstOrNull()
        val stored = entry?.let { StoredConfiguration.decode(it.value) }
        return if (stored == null ||
            registered.isNullOrEmpty()
        ) {
            null
        } else {
            Seen(stored, entry.revision, registered, readAt)
        }
    }

    private fun onRead(seen: Seen) {
        holder.adopt(seen.stored, seen.readAt)
        if (seen.stored.voters.processes == seen.registered || !isSettled(seen)) return
        val next =
            seen.stored.copy(
                sequence = seen.stored.sequence + 1,
                voters = VoterSet(seen.registered),
                earlierVoters = listOf(seen.stored.voters).filter { it.processes.isNotEmpty() },
            )
        busy = true
        val sentAt = on.clock.monotonicMillis()
        on.loop.call({ on.store.compareAndSwap(Keys.CONFIGURATION, seen.revision, next.encode()) }) { result ->
            busy = false
            if (result is WriteResult.Success) holder.adopt(next, sentAt)
        }
    }

    /** Whether no copy older than [seen] can be extended by earlier voters, and all that were have expired. */
    private fun isSettled(seen: Seen): Boolean {
        val stored = seen.stored
        val isPast = { p: ProcessId -> holder.sequenceOf(p) >= stored.sequence || p !in seen.registered }
        val canExtend = stored.earlierVoters.any { it.canExtend(isPast) }
        if (canExtend) on.membership.probe(stored.earlierVoters.flatMap { it.processes }.filterNot(isPast))
        val known = settling?.takeIf { it.sequence == stored.sequence }
        settling = if (canExtend) null else known ?: Settling(stored.sequence, on.clock.deadlineIn(COPY_GONE_MILLIS))
        return stored.earlierVoters.isEmpty() || settling?.until?.hasPassed(on.clock.monotonicMillis()) == true
    }

    private companion object {
        const val VOTERS_KEY = "voters"
    }
}
