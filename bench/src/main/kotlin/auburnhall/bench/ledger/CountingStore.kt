/*
 * A key-value service that keeps only the present values and counts what is written.
 */
package auburnhall.bench.ledger

import auburnhall.store.ABSENT
import auburnhall.store.KeyValueStore
import auburnhall.store.LeaseResult
import auburnhall.store.ReadResult
import auburnhall.store.StoreEntry
import auburnhall.store.Watch
import auburnhall.store.WatchListener
import auburnhall.store.WriteResult
import java.util.TreeMap

internal class CountingStore : KeyValueStore {
    private val entries = TreeMap<String, StoreEntry>()
    private var revision = 0L

    var writes = 0L
        private set
    var writtenBytes = 0L
        private set

    /** Bytes of all values. */
    val storedBytes: Long get() = entries.values.sumOf { it.value.size.toLong() }

    /** Number of keys. */
    val keys: Int get() = entries.size

    /** Drops all values, to measure what its users keep. */
    fun clear() = entries.clear()

    override fun get(key: String): ReadResult = ReadResult.Success(listOfNotNull(entries[key]), revision)

    override fun list(prefix: String): ReadResult =
        ReadResult.Success(entries.values.filter { it.key.startsWith(prefix) }, revision)

    override fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: ByteArray,
        lease: Long,
    ): WriteResult {
        writes += 1
        writtenBytes += value.size
        val current = entries[key]
        if ((current?.revision ?: ABSENT) != expectedRevision) return WriteResult.Conflict(current)
        revision += 1
        entries[key] = StoreEntry(key, value, revision)
        return WriteResult.Success(revision)
    }

    override fun compareAndDelete(
        key: String,
        expectedRevision: Long,
    ): WriteResult {
        writes += 1
        val current = entries[key]
        if (current?.revision != expectedRevision) return WriteResult.Conflict(current)
        revision += 1
        entries.remove(key)
        return WriteResult.Success(revision)
    }

    override fun grantLease(ttlSeconds: Long): LeaseResult = LeaseResult.Lost

    override fun keepAlive(lease: Long): LeaseResult = LeaseResult.Lost

    override fun revokeLease(lease: Long): LeaseResult = LeaseResult.Lost

    override fun watch(
        prefix: String,
        afterRevision: Long,
        listener: WatchListener,
    ): Watch =
        object : Watch {
            override fun close() = Unit
        }

    override fun close() = Unit
}
