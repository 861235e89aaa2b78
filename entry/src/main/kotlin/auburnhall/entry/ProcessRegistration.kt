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
class ProcessRegistration(
    private val context: ControlContext,
) {
    private var stopped = false
    private var held: StoreLease? = null

    /** Registers, now and whenever the registration has lapsed. */
    fun start() {
        if (stopped) return
        context.store.grantLease(TTL_MS) { result ->
            result
                .onSuccess(::register)
                .onFailure { again(it) }
        }
    }

    /** Removes the registration. */
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
                .onSuccess { context.scheduler.after(RENEW_MS) { renew(lease) } }
                .onFailure { again(it) }
        }
    }

    private fun renew(lease: StoreLease) {
        if (stopped) return
        context.store.renewLease(lease.id) { result ->
            result
                .onSuccess { context.scheduler.after(RENEW_MS) { renew(lease) } }
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

    private fun again(error: StoreError) {
        context.events.log("registration.failed", "error" to error)
        context.scheduler.after(RETRY_MS) { start() }
    }

    companion object {
        /** Keys of processes are this and their name. */
        const val KEY_PREFIX = "auburnhall/processes/"

        /** Outlasts short outages of the store, so that processes keep telling each other their load. */
        private const val TTL_MS = 10_000L
        private const val RENEW_MS = 2_000L
        private const val RETRY_MS = 1_000L
    }
}
