/*
 * Counts the calls of this process to the store by kind. The operators pay for each call; a renewal and a range read
 * that may be old cost a tenth of the others.
 */
package auburnhall.entry

import auburnhall.core.KeyValueStore
import auburnhall.core.StoreCallback
import auburnhall.core.StoreChanges
import auburnhall.core.StoreLease
import auburnhall.core.StorePage
import auburnhall.core.StoreTransaction

/** The kinds of calls to the store, and what a call costs in tenths of a full call. */
enum class StoreCallKind(
    val tenths: Int,
) {
    RANGE(FULL),
    SERIALIZABLE_RANGE(TENTH),
    WATCH(FULL),
    TRANSACTION(FULL),
    LEASE(FULL),
    RENEWAL(TENTH),
    REVOCATION(FULL),
    ;

    /** The value of the metric's label. */
    val label = name.lowercase()
}

private const val FULL = 10
private const val TENTH = 1

/** Passes all calls on to [store] and their kinds to [onCall]. */
class CountedStore(
    private val store: KeyValueStore,
    private val onCall: (StoreCallKind) -> Unit,
) : KeyValueStore by store {
    override fun range(
        prefix: String,
        afterKey: String?,
        mayBeOld: Boolean,
        done: StoreCallback<StorePage>,
    ) {
        onCall(if (mayBeOld) StoreCallKind.SERIALIZABLE_RANGE else StoreCallKind.RANGE)
        store.range(prefix, afterKey, mayBeOld, done)
    }

    override fun watch(
        prefix: String,
        revision: Long,
        waitMs: Long,
        done: StoreCallback<StoreChanges>,
    ) {
        onCall(StoreCallKind.WATCH)
        store.watch(prefix, revision, waitMs, done)
    }

    override fun commit(
        transaction: StoreTransaction,
        done: StoreCallback<Long>,
    ) {
        onCall(StoreCallKind.TRANSACTION)
        store.commit(transaction, done)
    }

    override fun grantLease(
        ttlMs: Long,
        done: StoreCallback<StoreLease>,
    ) {
        onCall(StoreCallKind.LEASE)
        store.grantLease(ttlMs, done)
    }

    override fun renewLease(
        lease: Long,
        done: StoreCallback<Unit>,
    ) {
        onCall(StoreCallKind.RENEWAL)
        store.renewLease(lease, done)
    }

    override fun revokeLease(
        lease: Long,
        done: StoreCallback<Unit>,
    ) {
        onCall(StoreCallKind.REVOCATION)
        store.revokeLease(lease, done)
    }
}
