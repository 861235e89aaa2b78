/*
 * In-memory key-value store in which tests can inject faults.
 */
package auburnhall.test

import auburnhall.core.Address
import auburnhall.core.KeyValueStore
import auburnhall.core.Scheduler
import auburnhall.core.StoreCallback
import auburnhall.core.StoreChange
import auburnhall.core.StoreChanges
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.core.StoreLease
import auburnhall.core.StorePage
import auburnhall.core.StoreTransaction
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.util.TreeMap

/** A store that responds after [delayMs] milliseconds; leases expire by time if [leasesExpire]. */
class FakeKeyValueStore(
    private val scheduler: Scheduler,
    private val delayMs: Long = 1,
    private val leasesExpire: Boolean = false,
) : KeyValueStore {
    private val items = TreeMap<String, StoreItem>()
    private val history = ArrayList<Pair<Long, StoreChange>>()
    private val leases = HashMap<Long, MutableSet<String>>()
    private val ttlsMs = HashMap<Long, Long>()
    private val renewals = HashMap<Long, Int>()
    private val heldWrites = ArrayList<() -> Unit>()
    private val watches = ArrayList<Watch>()
    private var revision = 1L
    private var nextLease = 100L
    private var compactedRevision = 0L

    override var era = 1L
        private set
    override var onNewEra: () -> Unit = {}

    /** Whether writes are not answered, and are applied only by [releaseWrites]. */
    var holdsWrites = false

    /** The error of all calls during an outage; null while the store is available. */
    var outage: StoreError? = null

    /** Whether writes are applied but their responses are lost. */
    var dropsResponses = false

    /** Number of calls by operation. */
    val calls = HashMap<String, Int>()

    /** Writes [value] as an operator or a worker would. */
    fun put(
        key: String,
        value: String,
    ) {
        write(key, value.toByteArray())
    }

    fun remove(key: String) {
        if (items.remove(key) == null) return
        record(StoreChange.Removed(key, ++revision))
    }

    /** What a restore brings back. */
    class Copy internal constructor(
        internal val items: Map<String, StoreItem>,
        internal val leases: Map<Long, Set<String>>,
        internal val ttlsMs: Map<Long, Long>,
        internal val revision: Long,
        internal val nextLease: Long,
    )

    /** Copies the present state. */
    fun copy() = Copy(TreeMap(items), leases.mapValues { it.value.toSet() }, HashMap(ttlsMs), revision, nextLease)

    /** Begins a new era with the state of [copy]; its leases begin to run anew. */
    fun restore(copy: Copy) {
        era++
        revision = copy.revision
        nextLease = copy.nextLease
        items.clear()
        items.putAll(copy.items)
        leases.clear()
        copy.leases.forEach { leases[it.key] = it.value.toMutableSet() }
        ttlsMs.clear()
        ttlsMs.putAll(copy.ttlsMs)
        history.clear()
        compactedRevision = copy.revision
        leases.keys.forEach(::startExpiry)
        watches.toList().forEach { it.finish(Err(RESPONSE_LOST)) }
    }

    /** Applies the writes that were held, if their conditions hold now. */
    fun releaseWrites() {
        val writes = heldWrites.toList()
        heldWrites.clear()
        writes.forEach { it() }
    }

    /** The value at [key]; null when there is none. */
    fun valueOf(key: String): String? = items[key]?.let { String(it.value) }

    /** The keys that begin with [prefix]. */
    fun keys(prefix: String): Set<String> = items.keys.filterTo(HashSet()) { it.startsWith(prefix) }

    /** Discards the history of all changes up to now. */
    fun compact() {
        compactedRevision = revision
        history.clear()
        watches.toList().forEach { it.finish(Err(StoreError.HistoryGone)) }
    }

    /** Expires [lease] and removes its keys. */
    fun expire(lease: Long) {
        leases.remove(lease)?.forEach(::remove)
    }

    /** IDs of the leases that have not ended. */
    val activeLeases: Set<Long> get() = leases.keys

    override fun range(
        prefix: String,
        afterKey: String?,
        done: StoreCallback<StorePage>,
    ) = answer("range", done) {
        val found = items.tailMap(afterKey ?: "", afterKey == null).filterKeys { it.startsWith(prefix) }.values
        Ok(StorePage(found.take(PAGE_ITEMS), found.size > PAGE_ITEMS, revision))
    }

    override fun watch(
        prefix: String,
        revision: Long,
        waitMs: Long,
        done: StoreCallback<StoreChanges>,
    ) {
        count("watch")
        val watch = Watch(prefix, revision, done)
        watches.add(watch)
        scheduler.after(waitMs) { watch.finish(outage?.let { Err(it) } ?: Ok(StoreChanges(emptyList(), revision))) }
        scheduler.after(delayMs) { watch.finishIfDue() }
    }

    override fun commit(
        transaction: StoreTransaction,
        done: StoreCallback<Long>,
    ) {
        if (holdsWrites) heldWrites.add { apply(transaction) }
        answer("commit", done) { if (holdsWrites) Err(RESPONSE_LOST) else apply(transaction) }
    }

    private fun apply(transaction: StoreTransaction): Result<Long, StoreError> {
        val conditionsHold = transaction.expected.all { (key, at) -> (items[key]?.revision ?: 0) == at }
        val leasesExist = transaction.puts.all { it.lease == 0L || it.lease in leases }
        return when {
            !conditionsHold -> Err(StoreError.Conflict)
            !leasesExist -> Err(StoreError.NoSuchLease)
            else -> {
                transaction.puts.forEach { put ->
                    leases.values.forEach { it.remove(put.key) }
                    write(put.key, put.value)
                    leases[put.lease]?.add(put.key)
                }
                transaction.removes.forEach(::remove)
                if (dropsResponses) Err(RESPONSE_LOST) else Ok(revision)
            }
        }
    }

    override fun grantLease(
        ttlMs: Long,
        done: StoreCallback<StoreLease>,
    ) = answer("grant", done) {
        val id = nextLease++
        leases[id] = HashSet()
        ttlsMs[id] = ttlMs
        startExpiry(id)
        Ok(StoreLease(id, ttlMs))
    }

    override fun renewLease(
        lease: Long,
        done: StoreCallback<Unit>,
    ) = answer("renew", done) {
        startExpiry(lease)
        if (lease in leases) Ok(Unit) else Err(StoreError.NoSuchLease)
    }

    private fun startExpiry(lease: Long) {
        val ttlMs = ttlsMs[lease]?.takeIf { leasesExpire && lease in leases } ?: return
        val renewal = renewals.merge(lease, 1, Int::plus)
        scheduler.after(ttlMs) { if (renewals[lease] == renewal) expire(lease) }
    }

    override fun revokeLease(
        lease: Long,
        done: StoreCallback<Unit>,
    ) = answer("end", done) {
        expire(lease)
        Ok(Unit)
    }

    override fun reconnect() = watches.toList().forEach { it.finish(Err(RESPONSE_LOST)) }

    private fun <T> answer(
        name: String,
        done: StoreCallback<T>,
        result: () -> Result<T, StoreError>,
    ) {
        count(name)
        scheduler.after(delayMs) { done(outage?.let { Err(it) } ?: result()) }
    }

    private fun count(name: String) {
        calls.merge(name, 1, Int::plus)
    }

    private fun write(
        key: String,
        value: ByteArray,
    ) {
        val item = StoreItem(key, value, ++revision)
        items[key] = item
        record(StoreChange.Put(item))
    }

    private fun record(change: StoreChange) {
        history.add(revision to change)
        watches.toList().forEach { it.finishIfDue() }
    }

    private inner class Watch(
        private val prefix: String,
        private val after: Long,
        private val done: StoreCallback<StoreChanges>,
    ) {
        fun finishIfDue() {
            val changes = history.filter { it.first > after && it.second.key.startsWith(prefix) }.map { it.second }
            when {
                outage != null -> finish(Err(checkNotNull(outage)))
                after < compactedRevision || after > this@FakeKeyValueStore.revision ->
                    finish(
                        Err(StoreError.HistoryGone),
                    )
                changes.isNotEmpty() -> finish(Ok(StoreChanges(changes, revision)))
            }
        }

        fun finish(result: Result<StoreChanges, StoreError>) {
            if (watches.remove(this)) done(result)
        }
    }

    private companion object {
        const val PAGE_ITEMS = 50
        val RESPONSE_LOST = StoreError.NoAnswer(Address("127.0.0.1", 1), "lost")
    }
}
