/*
 * Makes this process known to the others, and notices when the connections to the store have gone silent.
 */
package auburnhall.entry

import auburnhall.core.EventListener
import auburnhall.core.KeyValueStore
import auburnhall.core.Scheduler
import auburnhall.core.StoreError
import auburnhall.core.StoreLease
import auburnhall.core.StoreTransaction
import auburnhall.core.log
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Keeps the registration of the process [name] at [host]. Control thread only. */
class Registration(
    private val name: String,
    private val host: String,
    private val store: KeyValueStore,
    private val scheduler: Scheduler,
    private val events: EventListener,
) {
    private var stopped = false
    private var held: StoreLease? = null

    /** Registers, now and whenever the registration has lapsed. */
    fun start() {
        if (stopped) return
        store.grantLease(TTL_MS) { result ->
            result
                .onSuccess(::register)
                .onFailure { again(it) }
        }
    }

    /** Removes the registration. */
    fun stop() {
        stopped = true
        held?.let { lease -> store.endLease(lease.id) { } }
    }

    private fun register(lease: StoreLease) {
        held = lease
        val put = StoreTransaction.Put(PREFIX + name, host.toByteArray(), lease.id)
        store.commit(StoreTransaction(emptyMap(), listOf(put))) { result ->
            result
                .onSuccess { scheduler.after(RENEW_MS) { renew(lease) } }
                .onFailure { again(it) }
        }
    }

    private fun renew(lease: StoreLease) {
        if (stopped) return
        store.renewLease(lease.id) { result ->
            result
                .onSuccess { scheduler.after(RENEW_MS) { renew(lease) } }
                .onFailure { onRenewFailed(lease, it) }
        }
    }

    private fun onRenewFailed(
        lease: StoreLease,
        error: StoreError,
    ) {
        if (error is StoreError.NoSuchLease) {
            start()
            return
        }
        if (error is StoreError.NoAnswer) {
            events.log("store.reconnecting", "error" to error)
            store.reconnect()
        }
        scheduler.after(RETRY_MS) { renew(lease) }
    }

    private fun again(error: StoreError) {
        events.log("registration.failed", "error" to error)
        scheduler.after(RETRY_MS) { start() }
    }

    companion object {
        /** Keys of processes are this and their name. */
        const val PREFIX = "auburnhall/processes/"

        /** Outlasts short outages of the store, so that processes keep telling each other their load. */
        private const val TTL_MS = 10_000L
        private const val RENEW_MS = 2_000L
        private const val RETRY_MS = 1_000L
    }
}
