/*
 * Makes this process known to the others, and notices when the connections to the store have gone silent.
 */
package auburnhall.entry

import auburnhall.core.StoreError
import auburnhall.core.StoreLease
import auburnhall.core.StoreTransaction
import auburnhall.core.log
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Keeps the registration of this process. Control thread only. */
class Registration(
    private val parts: ControlParts,
) {
    private var stopped = false
    private var held: StoreLease? = null

    /** Registers, now and whenever the registration has lapsed. */
    fun start() {
        if (stopped) return
        parts.store.grantLease(TTL_MS) { result ->
            result
                .onSuccess(::register)
                .onFailure { again(it) }
        }
    }

    /** Removes the registration. */
    fun stop() {
        stopped = true
        held?.let { lease -> parts.store.endLease(lease.id) { } }
    }

    private fun register(lease: StoreLease) {
        held = lease
        val self = PeerProcess(parts.settings.host, parts.settings.dataCentre)
        val put = StoreTransaction.Put(PREFIX + parts.settings.processName, self.encode(), lease.id)
        parts.store.commit(StoreTransaction(emptyMap(), listOf(put))) { result ->
            result
                .onSuccess { parts.scheduler.after(RENEW_MS) { renew(lease) } }
                .onFailure { again(it) }
        }
    }

    private fun renew(lease: StoreLease) {
        if (stopped) return
        parts.store.renewLease(lease.id) { result ->
            result
                .onSuccess { parts.scheduler.after(RENEW_MS) { renew(lease) } }
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
            parts.events.log("store.reconnecting", "error" to error)
            parts.store.reconnect()
        }
        parts.scheduler.after(RETRY_MS) { renew(lease) }
    }

    private fun again(error: StoreError) {
        parts.events.log("registration.failed", "error" to error)
        parts.scheduler.after(RETRY_MS) { start() }
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
