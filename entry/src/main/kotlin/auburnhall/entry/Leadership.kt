/*
 * Leader election: the controller of the replicas is the process that holds the lease of the controller key in the
 * store. The store's revision of the write of that key identifies the term, so that the orders of a later controller
 * take precedence over those of an earlier one.
 */
package auburnhall.entry

import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.core.StoreLease
import auburnhall.core.StoreTransaction
import auburnhall.core.log
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Receives the beginning and the end of this process's terms as the controller. */
interface LeadershipListener {
    /** A term begins; [revision] is higher than that of any earlier term. */
    fun onLeadershipAcquired(revision: Long)

    /** The term has ended, or may have ended because the lease could not be renewed in time. */
    fun onLeadershipLost()
}

/** Claims the controller key for this process and renews its lease. Control thread only. */
class Leadership(
    private val context: ControlContext,
    private val listener: LeadershipListener,
    election: ElectionState,
) {
    private val claims = ClaimTimer(context, election, ::grantAndClaim)
    private val ttlMs = maxOf(LEASE_TTL_MS, context.settings.minLeaseMs)
    private var lease: StoreLease? = null

    @Volatile
    private var leading = false
    private var stopped = false

    @Volatile
    private var validUntilMs = 0L
    private var electedRevision = 0L

    /** Whether this process is the controller now. May be read from any thread. */
    val isLeading: Boolean get() = leading && context.clock.nowMs() < validUntilMs

    /** The controller key was loaded or written; recognizes a claim of this process whose response was lost. */
    fun onKey(item: StoreItem) {
        val held = lease ?: return
        if (!leading && String(item.value) == held.controllerValue(context)) beginTerm(held, item.revision)
    }

    /** The controller key was removed at [revision]. */
    fun onRemoved(revision: Long) {
        if (revision > electedRevision) endTerm("the controller key was removed from the store")
    }

    /** The mirror holds no controller key; claims it, unless another process is faster. */
    fun onNoLeader() {
        if (!stopped && !leading) claims.schedule()
    }

    /** Ends the term and the lease because this process stops. */
    fun stop() {
        stopped = true
        val held = lease
        endTerm("stopping")
        held?.let { lease -> context.store.revokeLease(lease.id) { } }
    }

    /** Ends the term when its lease may have expired; called periodically. */
    fun check() {
        if (leading && context.clock.nowMs() >= validUntilMs) endTerm("the lease was not renewed in time")
    }

    private fun grantAndClaim() {
        if (stopped) return
        val requestedAtMs = context.clock.nowMs()
        context.store.grantLease(ttlMs) { result ->
            result
                .onSuccess { claim(it, requestedAtMs) }
                .onFailure { claims.onFailed() }
        }
    }

    private fun claim(
        granted: StoreLease,
        requestedAtMs: Long,
    ) {
        lease = granted
        validUntilMs = requestedAtMs + granted.ttlMs - LEASE_SAFETY_MARGIN_MS
        val put = StoreTransaction.Put(CONTROLLER_KEY, granted.controllerValue(context).toByteArray(), granted.id)
        context.store.commit(StoreTransaction(mapOf(CONTROLLER_KEY to 0L), listOf(put))) { result ->
            result
                .onSuccess { revision ->
                    claims.onSucceeded()
                    beginTerm(granted, revision)
                }.onFailure {
                    claims.onFailed()
                    if (it is StoreError.Conflict) lease = null
                }
        }
    }

    private fun beginTerm(
        held: StoreLease,
        revision: Long,
    ) {
        if (stopped) context.store.revokeLease(held.id) { }
        if (leading || stopped) return
        leading = true
        electedRevision = revision
        context.events.log("leadership.taken", "revision" to revision, "lease" to held.id)
        listener.onLeadershipAcquired(revision)
        context.scheduler.after(LEASE_RENEW_INTERVAL_MS) { renew(held) }
    }

    private fun renew(held: StoreLease) {
        if (lease != held || !leading) return
        val requestedAtMs = context.clock.nowMs()
        context.store.renewLease(held.id) { result ->
            result
                .onSuccess { validUntilMs = requestedAtMs + held.ttlMs - LEASE_SAFETY_MARGIN_MS }
                .onFailure { if (it is StoreError.NoSuchLease) endTerm("the lease has expired") }
        }
        context.scheduler.after(LEASE_RENEW_INTERVAL_MS) { renew(held) }
    }

    private fun endTerm(cause: String) {
        lease = null
        if (!leading) return
        leading = false
        context.events.log("leadership.lost", "cause" to cause)
        listener.onLeadershipLost()
    }

    companion object {
        /** Key whose value names the controller and its lease. */
        const val CONTROLLER_KEY = "auburnhall/controller"

        /** The name of the process that wrote [item], the item at [CONTROLLER_KEY]. */
        fun holderOf(item: StoreItem): String = String(item.value).substringBefore(' ')

        /** Short, since replicas that lose a member after the controller failed stay down until the lease expires. */
        private const val LEASE_TTL_MS = 2_000L
        private const val LEASE_RENEW_INTERVAL_MS = 600L

        /** The term ends this much before the lease, since orders in flight at its end arrive within this time. */
        private const val LEASE_SAFETY_MARGIN_MS = 300L
    }
}

/** The value of the controller key while this process holds it with this lease. */
private fun StoreLease.controllerValue(context: ControlContext) = "${context.settings.processName} $id"
