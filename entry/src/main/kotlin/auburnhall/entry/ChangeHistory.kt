/*
 * The most recent changes of the store, kept for the processes that take changes from this one.
 */
package auburnhall.entry

import auburnhall.core.StoreChange

/** A bounded list of changes in the order of arrival; the oldest are dropped. Control thread only. */
class ChangeHistory {
    private val changes = ArrayDeque<StoreChange>()
    private var completeAfter = Long.MAX_VALUE

    /** Clears the history; it holds the changes after [revision] from now on. */
    fun restart(revision: Long) {
        changes.clear()
        completeAfter = revision
    }

    /** Appends [change]; drops the oldest beyond [MAX_CHANGES]. */
    fun add(change: StoreChange) {
        changes.addLast(change)
        while (changes.size > MAX_CHANGES) completeAfter = maxOf(completeAfter, changes.removeFirst().revision)
    }

    /** The changes after [revision]; null when some of them may have been dropped. */
    fun since(revision: Long): List<StoreChange>? =
        if (revision < completeAfter) null else changes.filter { it.revision > revision }

    private companion object {
        /** Several times the number of changes that the loss of a whole data centre causes within a second. */
        const val MAX_CHANGES = 2_000
    }
}
