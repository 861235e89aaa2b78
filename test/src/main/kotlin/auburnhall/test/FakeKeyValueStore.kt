/*
 * The platform's key-value service in memory, with faults that a test scripts for each call.
 */
package auburnhall.test

import auburnhall.core.Clock
import auburnhall.store.ABSENT
import auburnhall.store.KeyValueStore
import auburnhall.store.LeaseResult
import auburnhall.store.NO_LEASE
import auburnhall.store.ReadResult
import auburnhall.store.StoreEntry
import auburnhall.store.Watch
import auburnhall.store.WatchListener
import auburnhall.store.WriteResult
import java.util.TreeMap

/** What a scripted fault does to one call. */
enum class StoreFault {
    /** The call is carried out and answered. */
    NONE,

    /** The call never arrives; the caller gets no answer. */
    LOST_CALL,

    /** The call is carried out; its answer is lost. */
    LOST_ANSWER,

    /** The service refuses the call. */
    REFUSED,
}

/** One call, as shown to the script. [operation] is the name of the method of [KeyValueStore]. */
data class StoreCall(
    val operation: String,
    val key: String,
)

/** An in-memory [KeyValueStore]. Several [client]s share one state, each with its own faults. */
class FakeKeyValueStore(
    private val clock: Clock,
) {
    private data class Stored(
        val entry: StoreEntry,
        val lease: Long,
    )

    private data class HeldLease(
        val expiresAt: Long,
        val ttlMillis: Long,
    )

    private inner class FakeWatch(
        val prefix: String,
        val listener: WatchListener,
        val client: FakeStoreClient,
    ) : Watch {
        override fun close() {
            synchronized(lock) { watches.remove(this) }
        }
    }

    private val lock = Any()
    private val data = TreeMap<String, Stored>()
    private val leases = HashMap<Long, HeldLease>()
    private val watches = ArrayList<FakeWatch>()
    private val history = ArrayList<Pair<Long, StoreEntry?>>()
    private val historyKeys = ArrayList<String>()
    private var revision = 0L
    private var nextLease = 0L

    /** Number of calls of each operation that arrived, over all clients. */
    val callCounts = TreeMap<String, Int>()

    /** Returns a client whose calls [fault] may disturb. */
    fun client(fault: (StoreCall) -> StoreFault = { StoreFault.NONE }): FakeStoreClient = FakeStoreClient(fault)

    /** Ends every lease whose time is up and deletes its keys. Called by each operation as well. */
    fun expireLeases() {
        val events =
            synchronized(lock) {
                val over = leases.filterValues { it.expiresAt <= clock.monotonicMillis() }.keys.toList()
                over.flatMap { dropLease(it) }
            }
        events.forEach { it() }
    }

    /** Breaks every watch, as a restart of the service does. */
    fun breakWatches() {
        val broken = synchronized(lock) { watches.toList().also { watches.clear() } }
        broken.forEach { it.listener.onLost("watch broken by the test") }
    }

    private fun dropLease(lease: Long): List<() -> Unit> {
        leases.remove(lease)
        val keys = data.filterValues { it.lease == lease }.keys.toList()
        return keys.flatMap { remove(it) }
    }

    private fun write(
        key: String,
        value: ByteArray,
        lease: Long,
    ): List<() -> Unit> {
        revision += 1
        val entry = StoreEntry(key, value, revision)
        data[key] = Stored(entry, lease)
        history += revision to entry
        historyKeys += key
        return watches.filter { key.startsWith(it.prefix) }.map { w -> { deliver(w) { w.listener.onPut(entry) } } }
    }

    private fun remove(key: String): List<() -> Unit> {
        if (data.remove(key) == null) return emptyList()
        revision += 1
        history += revision to null
        historyKeys += key
        return watches.filter { key.startsWith(it.prefix) }.map { w -> { deliver(w) { w.listener.onDelete(key) } } }
    }

    private fun deliver(
        watch: FakeWatch,
        event: () -> Unit,
    ) {
        watch.client.deliver(event)
    }

    /** One process's connection to the service. */
    inner class FakeStoreClient(
        private val fault: (StoreCall) -> StoreFault,
    ) : KeyValueStore {
        private val held = ArrayList<() -> Unit>()

        /** While set, watch events are kept back; [releaseEvents] delivers them. */
        var holdEvents = false

        /** Delivers the events kept back, in order. */
        fun releaseEvents() {
            holdEvents = false
            val events = held.toList()
            held.clear()
            events.forEach { it() }
        }

        internal fun deliver(event: () -> Unit) {
            if (holdEvents) held += event else event()
        }

        override fun get(key: String): ReadResult = read("get", key) { listOfNotNull(data[key]?.entry) }

        override fun list(prefix: String): ReadResult =
            read("list", prefix) {
                data
                    .tailMap(prefix)
                    .values
                    .map { it.entry }
                    .filter { it.key.startsWith(prefix) }
            }

        override fun compareAndSwap(
            key: String,
            expectedRevision: Long,
            value: ByteArray,
            lease: Long,
        ): WriteResult =
            change("compareAndSwap", key, expectedRevision) {
                if (lease != NO_LEASE && lease !in leases) return@change null
                write(key, value, lease)
            }

        override fun compareAndDelete(
            key: String,
            expectedRevision: Long,
        ): WriteResult = change("compareAndDelete", key, expectedRevision) { remove(key) }

        override fun grantLease(ttlSeconds: Long): LeaseResult =
            lease("grantLease", "") {
                nextLease += 1
                holdLease(nextLease, ttlSeconds * MILLIS_PER_SECOND)
            }

        override fun keepAlive(lease: Long): LeaseResult =
            lease("keepAlive", lease.toString()) {
                leases[lease]?.let { holdLease(lease, it.ttlMillis) } ?: LeaseResult.Lost
            }

        override fun revokeLease(lease: Long): LeaseResult {
            val events = ArrayList<() -> Unit>()
            val result =
                lease("revokeLease", lease.toString()) {
                    events += dropLease(lease)
                    LeaseResult.Success(lease, 0)
                }
            events.forEach { it() }
            return result
        }

        override fun watch(
            prefix: String,
            afterRevision: Long,
            listener: WatchListener,
        ): Watch {
            expireLeases()
            if (count("watch", prefix) != StoreFault.NONE) {
                listener.onLost("watch refused by the test")
                return FakeWatch(prefix, listener, this)
            }
            val (watch, missed) =
                synchronized(lock) {
                    val watch = FakeWatch(prefix, listener, this)
                    watches += watch
                    watch to history.indices.filter { isMissed(it, prefix, afterRevision) }
                }
            missed.forEach { i -> deliver { replay(i, listener) } }
            return watch
        }

        override fun close() = Unit

        private fun isMissed(
            index: Int,
            prefix: String,
            afterRevision: Long,
        ) = history[index].first > afterRevision && historyKeys[index].startsWith(prefix)

        private fun replay(
            index: Int,
            listener: WatchListener,
        ) {
            val entry = history[index].second
            if (entry == null) listener.onDelete(historyKeys[index]) else listener.onPut(entry)
        }

        private fun holdLease(
            lease: Long,
            ttlMillis: Long,
        ): LeaseResult {
            leases[lease] = HeldLease(clock.monotonicMillis() + ttlMillis, ttlMillis)
            return LeaseResult.Success(lease, ttlMillis)
        }

        private fun count(
            operation: String,
            key: String,
        ): StoreFault {
            val f = fault(StoreCall(operation, key))
            if (f != StoreFault.LOST_CALL) {
                synchronized(lock) { callCounts.merge(operation, 1, Int::plus) }
            }
            return f
        }

        private fun read(
            operation: String,
            key: String,
            entries: () -> List<StoreEntry>,
        ): ReadResult {
            expireLeases()
            if (count(operation, key) != StoreFault.NONE) return ReadResult.Error("no answer to $operation $key")
            return synchronized(lock) { ReadResult.Success(entries(), revision) }
        }

        private fun change(
            operation: String,
            key: String,
            expectedRevision: Long,
            apply: () -> List<() -> Unit>?,
        ): WriteResult {
            expireLeases()
            return when (count(operation, key)) {
                StoreFault.LOST_CALL -> WriteResult.Unknown("no answer to $operation $key")
                StoreFault.REFUSED -> WriteResult.Refused("$operation $key refused")
                StoreFault.NONE -> carryOut(key, expectedRevision, apply)
                StoreFault.LOST_ANSWER -> {
                    carryOut(key, expectedRevision, apply)
                    WriteResult.Unknown("answer to $operation $key lost")
                }
            }
        }

        private fun carryOut(
            key: String,
            expectedRevision: Long,
            apply: () -> List<() -> Unit>?,
        ): WriteResult {
            val events: List<() -> Unit>
            val result: WriteResult
            synchronized(lock) {
                val current = data[key]?.entry
                val applied = if ((current?.revision ?: ABSENT) == expectedRevision) apply() else null
                events = applied.orEmpty()
                result = if (applied == null) WriteResult.Conflict(current) else WriteResult.Success(revision)
            }
            events.forEach { it() }
            return result
        }

        private fun lease(
            operation: String,
            key: String,
            apply: () -> LeaseResult,
        ): LeaseResult {
            expireLeases()
            val f = count(operation, key)
            if (f == StoreFault.LOST_CALL ||
                f == StoreFault.REFUSED
            ) {
                return LeaseResult.Error("no answer to $operation")
            }
            val result = synchronized(lock) { apply() }
            return if (f == StoreFault.LOST_ANSWER) LeaseResult.Error("answer to $operation lost") else result
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
