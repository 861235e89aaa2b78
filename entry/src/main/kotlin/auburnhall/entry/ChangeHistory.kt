/*
 * The last changes that a process knows, for those that take them from it.
 */
package auburnhall.entry

import auburnhall.core.StoreChange

/** Changes in the order in which they became known; the oldest are forgotten. Control thread only. */
class ChangeHistory {
    private val changes = ArrayDeque<StoreChange>()
    private var from = Long.MAX_VALUE

    /** All is known as of [revision], and no change before it. */
    fun restart(revision: Long) {
        changes.clear()
        from = revision
    }

    /** [change] became known. */
    fun add(change: StoreChange) {
        changes.addLast(change)
        while (changes.size > CAPACITY) from = maxOf(from, changes.removeFirst().revision)
    }

    /** The changes after [revision]; null when some of them may have been forgotten. */
    fun since(revision: Long): List<StoreChange>? =
        if (revision < from) null else changes.filter { it.revision > revision }

    private companion object {
        /** Several times what a loss of a whole data centre brings within a second. */
        const val CAPACITY = 2_000
    }
}
