/*
 * Which process controls the replicas: the one whose name stands under a key that is bound to a lease. A term is counted
 * from the revision of that write, so that a later controller's orders overrule those of an earlier one.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.KeyValueStore
import auburnhall.core.Scheduler
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.core.StoreLease
import auburnhall.core.StoreTransaction
import auburnhall.core.log
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlin.random.Random

/** Told when this process begins and ends to control. */
interface LeadershipListener {
    /** The term begins; [revision] is higher than that of any earlier term. */
    fun onElected(revision: Long)

    /** The term is over, or cannot be told to go on. */
    fun onDeposed()
}

/** Takes and keeps control for the process [name]. Control thread only. */
class Leadership(
    private val name: String,
    private val store: KeyValueStore,
    private val clock: Clock,
    private val scheduler: Scheduler,
    private val random: Random,
    private val events: EventListener,
    private val listener: LeadershipListener,
    minLeaseMs: Long,
) {
    private val ttlMs = maxOf(TTL_MS, minLeaseMs)
    private var lease: StoreLease? = null
    private var attempting = false
    @Volatile
    private var leading = false
    private var stopped = false

    @Volatile
    private var validUntil = 0L
    private var electedAt = 0L

    /** Whether this process controls the replicas now. */
    val isLeading: Boolean get() = leading && clock.nowMs() < validUntil

    /** The key that names the controller was written, or found. */
    fun onKey(item: StoreItem) {
        val held = lease ?: return
        if (!leading && String(item.value) == valueOf(held)) elected(held, item.revision)
    }

    /** The key that names the controller was removed at [revision]. */
    fun onRemoved(revision: Long) {
        if (revision > electedAt) depose("the key was removed")
    }

    /** No controller is named, as far as this process knows. */
    fun onVacant() = attemptSoon()

    /** Gives up control, when this process stops. */
    fun stop() {
        stopped = true
        val held = lease
        depose("stopping")
        held?.let { lease -> store.endLease(lease.id) { } }
    }

    /** Ends the term once its lease may have run out. */
    fun check() {
        if (leading && clock.nowMs() >= validUntil) depose("the lease was not renewed")
    }

    private fun attemptSoon() {
        if (attempting || stopped || leading) return
        attempting = true
        scheduler.after(random.nextLong(SPREAD_MS)) { attempt() }
    }

    private fun attempt() {
        val began = clock.nowMs()
        store.grantLease(ttlMs) { result ->
            result
                .onSuccess { claim(it, began) }
                .onFailure { attempting = false }
        }
    }

    private fun claim(
        granted: StoreLease,
        began: Long,
    ) {
        lease = granted
        validUntil = began + granted.ttlMs - MARGIN_MS
        val put = StoreTransaction.Put(CONTROLLER_KEY, valueOf(granted).toByteArray(), granted.id)
        store.commit(StoreTransaction(mapOf(CONTROLLER_KEY to 0L), listOf(put))) { result ->
            attempting = false
            result
                .onSuccess { revision -> elected(granted, revision) }
                .onFailure { if (it is StoreError.Conflict) lease = null }
        }
    }

    private fun elected(
        held: StoreLease,
        revision: Long,
    ) {
        if (leading || stopped) return
        leading = true
        electedAt = revision
        events.log("leadership.taken", "revision" to revision, "lease" to held.id)
        listener.onElected(revision)
        scheduler.after(RENEW_MS) { renew(held) }
    }

    private fun renew(held: StoreLease) {
        if (lease != held || !leading) return
        val sentAt = clock.nowMs()
        store.renewLease(held.id) { result ->
            result
                .onSuccess { validUntil = sentAt + held.ttlMs - MARGIN_MS }
                .onFailure { if (it is StoreError.NoSuchLease) depose("the lease has ended") }
        }
        scheduler.after(RENEW_MS) { renew(held) }
    }

    private fun depose(cause: String) {
        lease = null
        if (!leading) return
        leading = false
        events.log("leadership.lost", "cause" to cause)
        listener.onDeposed()
    }

    private fun valueOf(held: StoreLease) = "$name ${held.id}"

    companion object {
        /** Names the controlling process. */
        const val CONTROLLER_KEY = "auburnhall/controller"

        /** Replicas that lose a member while there is no controller stay down for this long, in milliseconds. */
        private const val TTL_MS = 2_000L
        private const val RENEW_MS = 600L

        /** Orders on their way when the lease ends arrive within this time, in milliseconds. */
        private const val MARGIN_MS = 300L

        /** Keeps processes that see the same vacancy from all writing at once. */
        private const val SPREAD_MS = 200L
    }
}
