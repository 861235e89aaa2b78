/*
 * The platform's key-value service as this project uses it: reads, compare-and-swap on one key, leases and watches.
 * Every call may block up to its timeout and must not be made on a traffic thread without need.
 */
package auburnhall.store

/** One key with its value. [revision] changes with every write of the key and is what a compare-and-swap names. */
data class StoreEntry(
    val key: String,
    val value: ByteArray,
    val revision: Long,
) {
    override fun equals(other: Any?): Boolean =
        other is StoreEntry && key == other.key && revision == other.revision && value.contentEquals(other.value)

    override fun hashCode(): Int = 31 * key.hashCode() + revision.hashCode()
}

/** Revision to name in a compare-and-swap that must create the key. */
const val ABSENT = 0L

/** Lease to name in a write that belongs to no lease. */
const val NO_LEASE = 0L

/** Outcome of a read. */
sealed interface ReadResult {
    /** All entries found, ordered by key, as of [storeRevision]. */
    data class Success(
        val entries: List<StoreEntry>,
        val storeRevision: Long,
    ) : ReadResult

    /** The store gave no answer. */
    data class Error(
        val message: String,
    ) : ReadResult
}

/** Outcome of a write. */
sealed interface WriteResult {
    /** The write took effect and the key now has [revision]. */
    data class Success(
        val revision: Long,
    ) : WriteResult

    /** Nothing was written: the key is now [current], null when it is absent. */
    data class Conflict(
        val current: StoreEntry?,
    ) : WriteResult

    /** No answer came: the write may or may not have taken effect, now or later. */
    data class Unknown(
        val message: String,
    ) : WriteResult

    /** Nothing was written and nothing will be, because the store refused the call. */
    data class Refused(
        val message: String,
    ) : WriteResult
}

/** Outcome of a lease call. */
sealed interface LeaseResult {
    /** The lease is held for [ttlMillis] from the moment the call was sent. */
    data class Success(
        val lease: Long,
        val ttlMillis: Long,
    ) : LeaseResult

    /** The lease is not known to the store, or has expired. */
    data object Lost : LeaseResult

    /** The store gave no answer. */
    data class Error(
        val message: String,
    ) : LeaseResult
}

/** What a watch reports. Callbacks of one watch come one at a time on a thread of the store's client. */
interface WatchListener {
    /** [entry] was written. */
    fun onPut(entry: StoreEntry)

    /** [key] was deleted. */
    fun onDelete(key: String)

    /** The watch ended; nothing more is reported. What happened since is unknown until the keys are read again. */
    fun onLost(message: String)
}

/** A watch in progress. */
interface Watch : AutoCloseable {
    override fun close()
}

/** The platform's key-value service. */
interface KeyValueStore : AutoCloseable {
    /** Reads [key]; an absent key gives no entries. */
    fun get(key: String): ReadResult

    /** Reads every key that starts with [prefix]. */
    fun list(prefix: String): ReadResult

    /** Writes [value] under [key] if its revision is [expectedRevision] ([ABSENT] to create it). */
    fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: ByteArray,
        lease: Long = NO_LEASE,
    ): WriteResult

    /** Deletes [key] if its revision is [expectedRevision]. */
    fun compareAndDelete(
        key: String,
        expectedRevision: Long,
    ): WriteResult

    /** Asks for a lease of [ttlSeconds]; keys written under it are deleted when it expires. */
    fun grantLease(ttlSeconds: Long): LeaseResult

    /** Renews [lease]. */
    fun keepAlive(lease: Long): LeaseResult

    /** Gives [lease] up and deletes its keys. */
    fun revokeLease(lease: Long): LeaseResult

    /** Reports every change of keys that start with [prefix] after [afterRevision]. */
    fun watch(
        prefix: String,
        afterRevision: Long,
        listener: WatchListener,
    ): Watch

    override fun close()
}
