/*
 * The most recent changes of the store, kept for the processes that take changes from this one. Bounded in bytes: a
 * change holds the whole value, and values may be long.
 */
package auburnhall.entry

import auburnhall.core.StoreChange

/** A bounded list of changes in the order of arrival; the oldest are dropped. Control thread only. */
class ChangeHistory {
    private val changes = ArrayDeque<StoreChange>()
    private var completeAfter = Long.MAX_VALUE

    /** Bytes of memory that the changes take, approximately. */
    var heldBytes = 0L
        private set

    /** Clears the history; it holds the changes after [revision] from now on. */
    fun restart(revision: Long) {
        changes.clear()
        heldBytes = 0
        completeAfter = revision
    }

    /** Appends [change]; drops the oldest beyond [MAX_CHANGES] and [MAX_BYTES]. */
    fun add(change: StoreChange) {
        changes.addLast(change)
        heldBytes += sizeOf(change)
        while (changes.size > MAX_CHANGES || heldBytes > MAX_BYTES) dropOldest()
    }

    /** The changes after [revision]; null when some of them may have been dropped. */
    fun since(revision: Long): List<StoreChange>? =
        if (revision < completeAfter) null else changes.filter { it.revision > revision }

    private fun dropOldest() {
        val oldest = changes.removeFirst()
        heldBytes -= sizeOf(oldest)
        completeAfter = maxOf(completeAfter, oldest.revision)
    }

    companion object {
        /** Several times the number of changes that the loss of a whole data centre causes within a second. */
        const val MAX_CHANGES = 2_000

        /** Several of the longest values of the store; a small part of the heap. */
        const val MAX_BYTES = 3_145_728L
        private const val CHANGE_OVERHEAD_BYTES = 100

        private fun sizeOf(change: StoreChange): Int =
            CHANGE_OVERHEAD_BYTES + change.key.length + ((change as? StoreChange.Put)?.item?.value?.size ?: 0)
    }
}
