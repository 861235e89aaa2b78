/*
 * Leader election: the controller of the replicas is the process that holds the lease of the controller key in the
 * store. The store's position at the write of that key identifies the term, so that the orders of a later controller
 * take precedence over those of an earlier one. A restored store may have lost the key: a term goes on only if the key
 * is still there, and no other process claims it until all leases of the era before have expired.
 */
package auburnhall.entry

import auburnhall.core.StoreItem
import auburnhall.core.StorePosition
import auburnhall.core.StoreTransaction
import auburnhall.core.log
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Receives the beginning and the end of this process's terms as the controller. */
interface LeadershipListener {
    /** A term begins; [position] is later than that of any earlier term. */
    fun onLeadershipAcquired(position: StorePosition)

    /** The term has ended, or may have ended because the lease could not be renewed in time. */
    fun onLeadershipLost()
}

/** Claims the controller key for this process and renews its lease. Control thread only. */
class Leadership(
    private val context: ControlContext,
    private val listener: LeadershipListener,
    election: ElectionState,
) {
    private val claims = ClaimTimer(context, election, ::claim)
    private val lease = ControllerLease(context)
    private val unheldKey = UnheldControllerKey(context)

    @Volatile
    private var leading = false
    private var electedRevision = 0L

    /** Whether this process is the controller now. May be read from any thread. */
    val isLeading: Boolean get() = leading && lease.valid

    /** Why this process must not lead, in a few words; null if it may. Ends the term and its lease when it is set. */
    var unfit: String? = null
        set(value) {
            field = value
            val held = lease.lease?.takeIf { value != null }
            value?.let(::endTerm)
            held?.let { context.store.revokeLease(it.id) { } }
        }

    /** The controller key was loaded or written; recognizes a claim of this process whose response was lost. */
    fun onKey(item: StoreItem) {
        if (!leading && String(item.value) == lease.keyValue) {
            beginTerm(StorePosition(context.store.era, item.revision))
        }
    }

    /** The store was restored: a claim in progress is void, and the controller may hold its lease for a while. */
    fun onNewEra() {
        if (leading) return
        lease.drop()
        claims.pause(lease.ttlMs)
    }

    /** The mirror was loaded from a restored store, with [item] at the controller key. */
    fun onRestored(item: StoreItem?) {
        if (!leading) return
        if (item != null && String(item.value) == lease.keyValue) {
            lease.confirm()
        } else {
            endTerm("the store was restored without this term")
        }
    }

    /** The controller key was removed at [revision]. */
    fun onRemoved(revision: Long) {
        if (revision > electedRevision) endTerm("the controller key was removed from the store")
    }

    /**
     * The mirror holds [item] at the controller key. Without one, claims it, unless another process is faster. One that
     * names this process with a lease that it does not hold is removed.
     */
    fun onMirrored(item: StoreItem?) {
        if (unfit != null || leading) return
        if (item == null) {
            claims.schedule()
        } else if (String(item.value) != lease.keyValue) {
            unheldKey.removeIfOwn(item)
        }
    }

    /** Ends the term when its lease may have expired; called periodically. */
    fun check() {
        if (leading && !lease.valid) endTerm("the lease was not renewed in time")
    }

    private fun claim() {
        if (unfit != null) return
        lease.claim { result ->
            result
                .onSuccess {
                    claims.onSucceeded()
                    beginTerm(it)
                }.onFailure { claims.onFailed() }
        }
    }

    private fun beginTerm(position: StorePosition) {
        val held = lease.lease ?: return
        if (unfit != null) context.store.revokeLease(held.id) { }
        if (leading || unfit != null) return
        leading = true
        electedRevision = position.revision
        lease.confirm()
        context.events.log("leadership.taken", "position" to position, "lease" to held.id)
        listener.onLeadershipAcquired(position)
        lease.keep { endTerm("the lease has expired") }
    }

    private fun endTerm(cause: String) {
        lease.drop()
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
    }
}

/**
 * Removes the controller key when it names this process with a lease that it does not hold: it was written late, after
 * its claim was given up, or before a restart. Bound to a lease of another process, it would keep all others from
 * leading.
 */
private class UnheldControllerKey(
    private val context: ControlContext,
) {
    private var removing = false

    fun removeIfOwn(item: StoreItem) {
        if (removing || Leadership.holderOf(item) != context.settings.processName) return
        removing = true
        val key = Leadership.CONTROLLER_KEY
        val removal = StoreTransaction(mapOf(key to item.revision), puts = emptyList(), removes = listOf(key))
        context.store.commit(removal) { result ->
            removing = false
            context.events.log("leadership.unheld", "revision" to item.revision, "removed" to result.isOk)
        }
    }
}
