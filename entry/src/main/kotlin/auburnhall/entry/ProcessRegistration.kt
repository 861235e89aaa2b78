/*
 * Registers this process in the store under a lease, so that the other processes know its address. Renewals are sent
 * regularly, so a missing response also shows that the connections to the store are dead; they are then opened again.
 */
package auburnhall.entry

import auburnhall.core.StoreError
import auburnhall.core.StoreLease
import auburnhall.core.StoreTransaction
import auburnhall.core.log
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Writes the registration and renews its lease. Control thread only. */
class ProcessRegistration(
    private val context: ControlContext,
) {
    private var stopped = false
    private var held: StoreLease? = null

    /** Registers this process, and again whenever the lease has expired. */
    fun start() {
        if (stopped) return
        context.store.grantLease(LEASE_TTL_MS) { result ->
            result
                .onSuccess(::register)
                .onFailure { retryLater(it) }
        }
    }

    /** Ends the lease, which removes the registration. */
    fun stop() {
        stopped = true
        held?.let { lease -> context.store.revokeLease(lease.id) { } }
    }

    private fun register(lease: StoreLease) {
        held = lease
        val self = PeerProcess(context.settings.host, context.settings.dataCentre)
        val put = StoreTransaction.Put(KEY_PREFIX + context.settings.processName, self.encode(), lease.id)
        context.store.commit(StoreTransaction(emptyMap(), listOf(put))) { result ->
            result
                .onSuccess { context.scheduler.after(LEASE_RENEW_INTERVAL_MS) { renew(lease) } }
                .onFailure { retryLater(it) }
        }
    }

    private fun renew(lease: StoreLease) {
        if (stopped) return
        context.store.renewLease(lease.id) { result ->
            result
                .onSuccess { context.scheduler.after(LEASE_RENEW_INTERVAL_MS) { renew(lease) } }
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
            context.events.log("store.reconnecting", "error" to error)
            context.store.reconnect()
        }
        context.scheduler.after(RETRY_MS) { renew(lease) }
    }

    private fun retryLater(error: StoreError) {
        context.events.log("registration.failed", "error" to error)
        context.scheduler.after(RETRY_MS) { start() }
    }

    companion object {
        /** The key of a process is this prefix followed by its name. */
        const val KEY_PREFIX = "auburnhall/processes/"

        /** Longer than short outages of the store, so that processes continue to exchange load reports during them. */
        private const val LEASE_TTL_MS = 10_000L
        private const val LEASE_RENEW_INTERVAL_MS = 2_000L
        private const val RETRY_MS = 1_000L
    }
}
