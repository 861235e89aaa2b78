/*
 * Leases on free slots that the collector of the data centre has granted to this process. Many processes that choose at
 * once by load reports of 60 to 150 ms send to the same free slots; a lease names a slot that no other process uses.
 * Without recent word from a collector nothing is reserved, and requests are sent as by load alone.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** A slot of the target with the key hash [target] that one request may use until [untilMs]. */
data class SlotLease(
    /** Counts the leases of one collector, from 1; 0 for the slot of a request of the process itself that ended. */
    val number: Int,
    val target: Int,
    /** In milliseconds of the monotonic clock. */
    val untilMs: Long,
)

/** The leases of this process. Traffic thread only. */
class SlotLeases(
    private val clock: Clock,
) {
    private val unused = ArrayList<SlotLease>()
    private val used = ArrayList<SlotLease>()
    private var grantor: String? = null
    private var reserved: Map<Int, Int> = emptyMap()
    private var reservedValidUntilMs = Long.MIN_VALUE

    /** The highest number of a lease that was received from the current collector. */
    var received = 0
        private set

    /** Leases received and used since the start. */
    var receivedCount = 0L
        private set
    var usedCount = 0L
        private set

    /** Called when leases were received. */
    var onGranted: () -> Unit = {}

    /** Whether a collector grants leases and its word is recent. */
    val active: Boolean get() = clock.nowMs() < reservedValidUntilMs

    /** The numbers of the leases that are not used yet. */
    val unusedNumbers: List<Int>
        get() {
            expire()
            return unused.filter { it.number > 0 }.map { it.number }
        }

    /** The collector [from] granted [leases]. */
    fun onGranted(
        from: String,
        leases: List<SlotLease>,
    ) {
        if (from != grantor) {
            grantor = from
            received = 0
            unused.clear()
        }
        val new = leases.filter { it.number > received }
        unused.addAll(new)
        receivedCount += new.size
        received = maxOf(received, leases.maxOfOrNull { it.number } ?: 0)
        onGranted()
    }

    /** The collector reported the number of slots that are leased to all processes, by target hash. */
    fun onReserved(byTarget: Map<Int, Int>) {
        reserved = byTarget
        reservedValidUntilMs = clock.nowMs() + ACTIVE_MS
    }

    /** Slots of the target with the key hash [target] that are leased to other processes. */
    fun reservedByOthers(target: Int): Int {
        if (!active) return 0
        val own = (unused + used).count { it.target == target && it.number > 0 }
        return ((reserved[target] ?: 0) - own).coerceAtLeast(0)
    }

    /** Whether a lease on the target with the key hash [target] can be used. */
    fun isLeased(target: Int): Boolean {
        expire()
        return unused.any { it.target == target }
    }

    /** A request was sent to [key], and uses up a lease on it if there is one. */
    fun onSent(key: TargetKey) {
        val lease = unused.firstOrNull { it.target == key.text.hashCode() }
        if (lease != null && unused.remove(lease) && lease.number > 0) {
            used.add(lease)
            usedCount++
        }
    }

    /** A request of this process at [key] ended while others wait here: one of them may use its slot at once. */
    fun onSlotFreed(key: TargetKey) {
        if (active) unused.add(SlotLease(0, key.text.hashCode(), clock.nowMs() + REUSE_MS))
    }

    private fun expire() {
        val now = clock.nowMs()
        unused.removeIf { it.untilMs <= now }
        used.removeIf { it.untilMs <= now }
    }

    /** Whether a request that was received at [receivedAtMs] may still wait for a lease. */
    fun mayAwait(receivedAtMs: Long): Boolean = clock.nowMs() - receivedAtMs < MAX_AWAIT_MS

    companion object {
        /**
         * Whether so few slots of a pool are free that they are given out by lease only; with [free] slots for
         * [processes] of all data centres or more, choosing by load alone does as well and needs fewer connections.
         */
        fun isShort(
            free: Int,
            processes: Int,
        ): Boolean = free < processes

        /** A report, a round of leases and their way here; a part of the latency that callers want. */
        private const val MAX_AWAIT_MS = 80L

        /** Several times the interval between two totals under load; without them for longer, nothing is reserved. */
        private const val ACTIVE_MS = 350L

        /** Time in which the waiting requests are tried again after one has ended. */
        private const val REUSE_MS = 10L
    }
}
