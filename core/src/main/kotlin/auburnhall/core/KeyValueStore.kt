/*
 * The platform's key-value store, as far as the product uses it: what has to be agreed or must last is kept there.
 */
package auburnhall.core

import com.github.michaelbull.result.Result

/** One item of the store. */
class StoreItem(
    val key: String,
    val value: ByteArray,
    /** The store's revision at its last change. */
    val revision: Long,
)

/** A page of items; [at] is the store's revision when it was read. */
class StorePage(
    val items: List<StoreItem>,
    val hasMore: Boolean,
    val at: Long,
)

/** A change of one key. */
sealed interface StoreChange {
    val key: String

    /** The store's revision of the change. */
    val revision: Long

    class Put(
        val item: StoreItem,
    ) : StoreChange {
        override val key: String get() = item.key
        override val revision: Long get() = item.revision
    }

    class Removed(
        override val key: String,
        override val revision: Long,
    ) : StoreChange
}

/** Changes up to the revision [at]. */
class StoreChanges(
    val changes: List<StoreChange>,
    val at: Long,
)

/** A lease and the time, in milliseconds, for which it runs without renewal. */
data class StoreLease(
    val id: Long,
    val ttlMs: Long,
)

/** A write that is done as a whole, or not at all. */
class StoreTransaction(
    /** Keys and the revisions at which they must be; 0 for keys that must not exist. */
    val expected: Map<String, Long>,
    val puts: List<Put>,
    val removes: List<String> = emptyList(),
) {
    /** A value to write; it is removed with [lease], 0 for none. */
    class Put(
        val key: String,
        val value: ByteArray,
        val lease: Long,
    )
}

/** Why a call to the store has no result. */
sealed interface StoreError {
    /** A condition of a transaction does not hold. */
    data object Conflict : StoreError

    /** The lease has ended. */
    data object NoSuchLease : StoreError

    /** Changes since the revision asked for are no longer known. */
    data object HistoryGone : StoreError

    /** The store turned the call away; nothing was done. */
    data class TurnedAway(
        val status: Int,
    ) : StoreError

    /** No usable answer; a write may have been done, or may be done later. */
    data class NoAnswer(
        val peer: Address,
        val cause: String,
    ) : StoreError
}

/** Receives the result of a call to the store, on the control thread. */
typealias StoreCallback<T> = (Result<T, StoreError>) -> Unit

/** The store. Calls return at once; each callback is called exactly once unless the call is cancelled. */
interface KeyValueStore {
    /** Items whose keys begin with [prefix], from the one after [afterKey]. */
    fun range(
        prefix: String,
        afterKey: String?,
        done: StoreCallback<StorePage>,
    )

    /** Changes after [revision] of keys that begin with [prefix]; empty when there is none for [waitMs]. */
    fun watch(
        prefix: String,
        revision: Long,
        waitMs: Long,
        done: StoreCallback<StoreChanges>,
    )

    /** Writes; returns the revision of the write. */
    fun commit(
        transaction: StoreTransaction,
        done: StoreCallback<Long>,
    )

    /** Begins a lease. */
    fun grantLease(
        ttlMs: Long,
        done: StoreCallback<StoreLease>,
    )

    /** Renews [lease]. */
    fun renewLease(
        lease: Long,
        done: StoreCallback<Unit>,
    )

    /** Ends [lease] and removes its keys. */
    fun revokeLease(
        lease: Long,
        done: StoreCallback<Unit>,
    )

    /** Closes all connections, since one of them has gone silent; calls in progress end without an answer. */
    fun reconnect()
}
