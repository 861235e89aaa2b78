/*
 * Which process controls the replicas: the one whose name stands under a key that is bound to a lease. A term is
 * counted from the revision of that write, so that a later controller's orders overrule those of an earlier one.
 */
package auburnhall.entry

import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.core.StoreLease
import auburnhall.core.StoreTransaction
import auburnhall.core.log
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Told when this process begins and ends to control. */
interface LeadershipListener {
    /** The term begins; [revision] is higher than that of any earlier term. */
    fun onLeadershipAcquired(revision: Long)

    /** The term is over, or cannot be told to go on. */
    fun onLeadershipLost()
}

/** Takes and keeps control for this process. Control thread only. */
class Leadership(
    private val context: ControlContext,
    private val listener: LeadershipListener,
) {
    private val ttlMs = maxOf(TTL_MS, context.settings.minLeaseMs)
    private var lease: StoreLease? = null
    private var attempting = false

    @Volatile
    private var leading = false
    private var stopped = false

    @Volatile
    private var validUntil = 0L
    private var electedAt = 0L

    /** Whether this process controls the replicas now. */
    val isLeading: Boolean get() = leading && context.clock.nowMs() < validUntil

    /** The key that names the controller was written, or found. */
    fun onKey(item: StoreItem) {
        val held = lease ?: return
        if (!leading && String(item.value) == held.valueFor(context)) elected(held, item.revision)
    }

    /** The key that names the controller was removed at [revision]. */
    fun onRemoved(revision: Long) {
        if (revision > electedAt) depose("the key was removed")
    }

    /** No controller is named, as far as this process knows. */
    fun onNoLeader() {
        if (attempting || stopped || leading) return
        attempting = true
        context.scheduler.after(context.random.nextLong(SPREAD_MS)) { attempt() }
    }

    /** Gives up control, when this process stops. */
    fun stop() {
        stopped = true
        val held = lease
        depose("stopping")
        held?.let { lease -> context.store.revokeLease(lease.id) { } }
    }

    /** Ends the term once its lease may have run out. */
    fun check() {
        if (leading && context.clock.nowMs() >= validUntil) depose("the lease was not renewed")
    }

    private fun attempt() {
        val began = context.clock.nowMs()
        context.store.grantLease(ttlMs) { result ->
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
        val put = StoreTransaction.Put(CONTROLLER_KEY, granted.valueFor(context).toByteArray(), granted.id)
        context.store.commit(StoreTransaction(mapOf(CONTROLLER_KEY to 0L), listOf(put))) { result ->
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
        context.events.log("leadership.taken", "revision" to revision, "lease" to held.id)
        listener.onLeadershipAcquired(revision)
        context.scheduler.after(RENEW_MS) { renew(held) }
    }

    private fun renew(held: StoreLease) {
        if (lease != held || !leading) return
        val sentAt = context.clock.nowMs()
        context.store.renewLease(held.id) { result ->
            result
                .onSuccess { validUntil = sentAt + held.ttlMs - MARGIN_MS }
                .onFailure { if (it is StoreError.NoSuchLease) depose("the lease has ended") }
        }
        context.scheduler.after(RENEW_MS) { renew(held) }
    }

    private fun depose(cause: String) {
        lease = null
        if (!leading) return
        leading = false
        context.events.log("leadership.lost", "cause" to cause)
        listener.onLeadershipLost()
    }

    companion object {
        /** Names the controlling process. */
        const val CONTROLLER_KEY = "auburnhall/controller"

        /** The process that [item], the one under that key, names. */
        fun holderOf(item: StoreItem): String = String(item.value).substringBefore(' ')

        /** Replicas that lose a member while there is no controller stay down for this long, in milliseconds. */
        private const val TTL_MS = 2_000L
        private const val RENEW_MS = 600L

        /** Orders on their way when the lease ends arrive within this time, in milliseconds. */
        private const val MARGIN_MS = 300L

        /** Keeps processes that see the same vacancy from all writing at once. */
        private const val SPREAD_MS = 200L
    }
}

/** What stands under the key that names the controller while this process holds it by this lease. */
private fun StoreLease.valueFor(context: ControlContext) = "${context.settings.processName} $id"
