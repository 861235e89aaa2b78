/*
 * Client interface of the platform's key-value store, which holds the state that processes must agree on or that must
 * survive them.
 */
package auburnhall.core

import com.github.michaelbull.result.Result

/**
 * A state of the store: [revision] rises with each change, but only within an [era], see [KeyValueStore]. The position
 * of a later era is always the greater one.
 */
data class StorePosition(
    val era: Long,
    val revision: Long,
) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition) = compareValuesBy(this, other, { it.era }, { it.revision })
}

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

/** A lease, which expires [ttlMs] milliseconds after it was granted or last renewed. */
data class StoreLease(
    val id: Long,
    val ttlMs: Long,
)

/** A conditional write that is applied atomically. */
class StoreTransaction(
    /** Keys and the revisions that they must have; 0 for keys that must not exist. */
    val expected: Map<String, Long>,
    val puts: List<Put>,
    val removes: List<String> = emptyList(),
) {
    /** A value to write; the key is removed when [lease] ends, 0 for no lease. */
    class Put(
        val key: String,
        val value: ByteArray,
        val lease: Long,
    )
}

/** Why a call to the store failed. */
sealed interface StoreError {
    /** A condition of a transaction does not hold. */
    data object Conflict : StoreError

    /** The lease has expired or was revoked. */
    data object NoSuchLease : StoreError

    /** The store no longer has the history since the requested revision. */
    data object HistoryGone : StoreError

    /** The store rejected the call with the HTTP status [status]; nothing was written. */
    data class TurnedAway(
        val status: Int,
    ) : StoreError

    /** The response of [peer] is longer than this process takes; it is so again when asked in the same way. */
    data class TooLong(
        val peer: Address,
    ) : StoreError

    /** No usable response from [peer]; a write may have been applied, or may still be applied later. */
    data class NoAnswer(
        val peer: Address,
        val cause: String,
        /** Whether the store, or its machine, closed or refused the connection. */
        val closedByPeer: Boolean = false,
    ) : StoreError
}

/** Receives the result of a call to the store, on the control thread. */
typealias StoreCallback<T> = (Result<T, StoreError>) -> Unit

/**
 * Calls return immediately; each callback is called exactly once unless the call is cancelled. After the store was
 * restored from an older copy, a new era begins: writes since the copy are lost, leases too, and revisions and leases
 * are given out again. Revisions and leases of different eras must not be compared.
 */
interface KeyValueStore {
    /** Number of the current era, as the last response showed; 0 before the first. */
    val era: Long

    /** Called when a response shows that another era has begun, before the callback of its call. */
    var onNewEra: () -> Unit

    /** Reads a page of items whose keys begin with [prefix], starting after [afterKey]; null for the first page. */
    fun range(
        prefix: String,
        afterKey: String?,
        done: StoreCallback<StorePage>,
    )

    /** Waits for changes after [revision] of keys that begin with [prefix]; empty if none occurs within [waitMs]. */
    fun watch(
        prefix: String,
        revision: Long,
        waitMs: Long,
        done: StoreCallback<StoreChanges>,
    )

    /** Applies [transaction]; the result is the revision of the write. */
    fun commit(
        transaction: StoreTransaction,
        done: StoreCallback<Long>,
    )

    /** Creates a lease with a time to live of [ttlMs] milliseconds. */
    fun grantLease(
        ttlMs: Long,
        done: StoreCallback<StoreLease>,
    )

    /** Renews [lease] for its time to live. */
    fun renewLease(
        lease: Long,
        done: StoreCallback<Unit>,
    )

    /** Revokes [lease] and removes its keys. */
    fun revokeLease(
        lease: Long,
        done: StoreCallback<Unit>,
    )

    /** Closes all connections after one has stopped responding; calls in progress fail with [StoreError.NoAnswer]. */
    fun reconnect()
}
