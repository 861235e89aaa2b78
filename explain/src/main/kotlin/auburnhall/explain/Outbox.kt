/*
 * Copies that are still to be sent, grouped by the peer that is to hold them.
 */
package auburnhall.explain

import auburnhall.core.ProcessId
import auburnhall.core.RequestId
import auburnhall.membership.Member

/** Records to be sent to one peer. */
internal data class Batch(
    val to: Member,
    val ids: List<RequestId>,
)

/** A bounded queue per peer; used by one thread. Once a peer's queue is full, the oldest of it are dropped. */
internal class Outbox {
    private class Queue(
        val to: Member,
        val ids: LinkedHashSet<RequestId> = LinkedHashSet(),
    )

    private val queues = LinkedHashMap<ProcessId, Queue>()

    /** Queues [id] for each of [members]. */
    fun add(
        id: RequestId,
        members: List<Member>,
    ) = members.forEach { m ->
        val ids = queues.getOrPut(m.process) { Queue(m) }.ids
        ids += id
        if (ids.size > QUEUE_RECORDS) ids.remove(ids.first())
    }

    /** Takes up to [BATCH_RECORDS] for the peer that has waited longest; null when nothing is queued. */
    fun take(): Batch? {
        val queue = queues.values.firstOrNull() ?: return null
        val ids = queue.ids.take(BATCH_RECORDS)
        queue.ids.removeAll(ids.toSet())
        queues.remove(queue.to.process)
        if (queue.ids.isNotEmpty()) queues[queue.to.process] = queue
        return Batch(queue.to, ids)
    }

    private companion object {
        const val BATCH_RECORDS = 200
        const val QUEUE_RECORDS = 20_000
    }
}
