/*
 * One process's connection to a FakeKeyValueStore: it can be cut, and learns of a new era only from a response.
 */
package auburnhall.test

import auburnhall.core.Address
import auburnhall.core.KeyValueStore
import auburnhall.core.Scheduler
import auburnhall.core.StoreCallback
import auburnhall.core.StoreChanges
import auburnhall.core.StoreError
import auburnhall.core.StoreLease
import auburnhall.core.StorePage
import auburnhall.core.StoreTransaction
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result

/** A client of [store]. */
class FakeStoreClient(
    private val store: FakeKeyValueStore,
    private val scheduler: Scheduler,
) : KeyValueStore {
    override var era = 0L
        private set
    override var onNewEra: () -> Unit = {}

    /** Whether calls get no answer; those that write may have been applied. */
    var cut = false

    /** Whether the store turns this process away and serves others: its calls fail at once, also those that wait. */
    var turnedAway = false
        set(value) {
            field = value
            if (value) pending.toList().forEach { it() }
        }
    private val pending = LinkedHashSet<() -> Unit>()

    /** Whether the process has ended: its callbacks are not called any more. */
    var ended = false

    override fun range(
        prefix: String,
        afterKey: String?,
        done: StoreCallback<StorePage>,
    ) = call(done) { store.range(prefix, afterKey, it) }

    override fun watch(
        prefix: String,
        revision: Long,
        waitMs: Long,
        done: StoreCallback<StoreChanges>,
    ) = call(done, waitMs) { store.watch(prefix, revision, waitMs, it) }

    override fun commit(
        transaction: StoreTransaction,
        done: StoreCallback<Long>,
    ) = call(done) { store.commit(transaction, it) }

    override fun grantLease(
        ttlMs: Long,
        done: StoreCallback<StoreLease>,
    ) = call(done) { store.grantLease(ttlMs, it) }

    override fun renewLease(
        lease: Long,
        done: StoreCallback<Unit>,
    ) = call(done) { store.renewLease(lease, it) }

    override fun revokeLease(
        lease: Long,
        done: StoreCallback<Unit>,
    ) = call(done) { store.revokeLease(lease, it) }

    override fun reconnect() = Unit

    private fun <T> call(
        done: StoreCallback<T>,
        waitMs: Long = 0,
        send: (StoreCallback<T>) -> Unit,
    ) {
        var finished = false
        lateinit var refuse: () -> Unit
        val finish: (Result<T, StoreError>) -> Unit = { result ->
            if (!finished && !ended) {
                finished = true
                pending.remove(refuse)
                done(result)
            }
        }
        refuse = { finish(Err(StoreError.TurnedAway(UNAVAILABLE))) }
        pending.add(refuse)
        scheduler.after(waitMs + TIMEOUT_MS) { finish(Err(StoreError.NoAnswer(PEER, "no response in time"))) }
        if (turnedAway) scheduler.after(1, refuse)
        if (cut || ended || turnedAway) return
        send { result ->
            val sentInEra = store.era
            scheduler.after(0) { if (!cut && !finished) onResponse(sentInEra) { finish(result) } }
        }
    }

    private fun onResponse(
        shown: Long,
        deliver: () -> Unit,
    ) {
        val known = era
        era = maxOf(era, shown)
        if (known != 0L && shown > known && !ended) onNewEra()
        if (shown >= known) deliver()
    }

    private companion object {
        const val TIMEOUT_MS = 800L
        const val UNAVAILABLE = 503
        val PEER = Address("127.0.0.1", 1)
    }
}
