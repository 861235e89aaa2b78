/*
 * The memory that the bodies of callers' requests take, from their first byte until the response has been handed over.
 * Each body has a limit of its own; the sum over all connections needs one too. Designed for a few long bodies among
 * many short ones: long ones wait for each other, and there is always some room for the first bytes of others. A body
 * that has waited goes on only when the rest of it fits: many that each hold a part would wait for each other's end.
 */
package auburnhall.http

import auburnhall.core.Scheduler

/** The bodies of all requests of a server. Used on one event loop only, on which [scheduler] runs tasks. */
internal class RequestMemory(
    private val scheduler: Scheduler,
) {
    private var firstBytes = 0
    private var furtherBytes = 0
    private val waiting = LinkedHashSet<MemoryWaiter>()
    private var notifying = false

    /** Bytes that all bodies hold. */
    val heldBytes: Int get() = firstBytes + furtherBytes

    /** Opens the account of one body. */
    fun open(): HeldMemory = HeldMemory(this)

    /** Tells [waiter] when bytes were released, after those that wait already. */
    fun await(waiter: MemoryWaiter) {
        waiting.add(waiter)
    }

    /** Runs [task] after [ms] milliseconds. */
    fun after(
        ms: Long,
        task: () -> Unit,
    ) {
        scheduler.after(ms, task)
    }

    /** [waiter] no longer waits. */
    fun stopWaiting(waiter: MemoryWaiter) {
        waiting.remove(waiter)
    }

    /** Changes the account of one body from [before] to [after] bytes; false if there is no room. */
    internal fun change(
        before: Int,
        after: Int,
    ): Boolean {
        val newFirstBytes = firstBytes + firstOf(after) - firstOf(before)
        val newFurtherBytes = furtherBytes + furtherOf(after) - furtherOf(before)
        val fits = newFirstBytes <= MAX_FIRST_BYTES && newFurtherBytes <= MAX_FURTHER_BYTES
        if (after > before && !fits) return false
        firstBytes = newFirstBytes
        furtherBytes = newFurtherBytes
        if (after < before) notifyLater()
        return true
    }

    /**
     * Gives bytes that were just released to those that wait for them. Of several waits that end at the same moment,
     * the first releases the bytes that the next ones need.
     */
    fun passOnReleased() {
        if (notifying) notifyWaiting()
    }

    private fun notifyLater() {
        if (notifying || waiting.isEmpty()) return
        notifying = true
        scheduler.run(::passOnReleased)
    }

    private fun notifyWaiting() {
        notifying = false
        for (next in waiting.toList()) {
            if (next in waiting && !next.onMemoryReleased()) return
        }
    }

    companion object {
        /** Bytes of a body that count as its first ones. */
        const val FIRST_BYTES = 16_384

        /** Most bytes of all bodies' first ones together. */
        const val MAX_FIRST_BYTES = 8_388_608

        /** Most bytes of all bodies together beyond their first ones. */
        const val MAX_FURTHER_BYTES = 16_777_216

        /** Most bytes of all bodies together. */
        const val MAX_BYTES = MAX_FIRST_BYTES + MAX_FURTHER_BYTES

        private fun firstOf(bytes: Int) = minOf(bytes, FIRST_BYTES)

        private fun furtherOf(bytes: Int) = bytes - firstOf(bytes)
    }
}

/** Waits for memory to receive more of a body. */
internal fun interface MemoryWaiter {
    /** Bytes were released; returns whether this had enough and waits no longer. */
    fun onMemoryReleased(): Boolean
}

/** The bytes that one body holds in [memory]. Used on one event loop only. */
internal class HeldMemory(
    private val memory: RequestMemory,
) {
    private var bytes = 0

    /** Raises the account to [total] bytes; false, without a change, if there is no room. */
    fun raiseTo(total: Int): Boolean {
        if (total > bytes) {
            if (!memory.change(bytes, total)) return false
            bytes = total
        }
        return true
    }

    /** The bytes are no longer held; further calls do nothing. */
    fun release() {
        val before = bytes
        bytes = 0
        if (before > 0) memory.change(before, 0)
    }
}
