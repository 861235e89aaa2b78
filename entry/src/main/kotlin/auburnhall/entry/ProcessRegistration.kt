/*
 * Registers this process in the store under a lease, so that the other processes know its address. Renewals are sent
 * regularly, so a missing response also shows that the connections to the store are dead; they are then opened again.
 * A renewal does not show that the registration exists: a restored store may have given the lease to another process,
 * or carry out an earlier write late. So the registration is also made again when the mirror lacks it.
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
    private var lastAttempt = 0L
    private var missingSinceMs: Long? = null

    /** The key of this process. */
    val key = KEY_PREFIX + context.settings.processName

    /** Registers this process under a new lease; an attempt in progress and the lease before are given up. */
    fun start() {
        if (stopped) return
        val attempt = ++lastAttempt
        missingSinceMs = null
        held = null
        context.store.grantLease(LEASE_TTL_MS) { result ->
            if (attempt == lastAttempt) result.onSuccess(::register).onFailure { retryLater(it) }
        }
    }

    /** Registers again if the registration, which the mirror does or does not hold, is [missing] for some time. */
    fun check(missing: Boolean) {
        if (!missing || held == null) {
            missingSinceMs = null
            return
        }
        val now = context.clock.nowMs()
        val since = missingSinceMs ?: now
        missingSinceMs = since
        if (now - since < MISSING_GRACE_MS) return
        context.events.log("registration.missing", "lease" to held?.id, "for_ms" to now - since)
        start()
    }

    /** Ends the lease, which removes the registration. */
    fun stop() {
        stopped = true
        held?.let { lease -> context.store.revokeLease(lease.id) { } }
    }

    private fun register(lease: StoreLease) {
        held = lease
        val self = PeerProcess(context.settings.host, context.settings.dataCentre)
        val put = StoreTransaction.Put(key, self.encode(), lease.id)
        context.store.commit(StoreTransaction(emptyMap(), listOf(put))) { result ->
            if (held === lease) {
                result
                    .onSuccess { context.scheduler.after(LEASE_RENEW_INTERVAL_MS) { renew(lease) } }
                    .onFailure { retryLater(it) }
            }
        }
    }

    private fun renew(lease: StoreLease) {
        if (stopped || held !== lease) return
        context.store.renewLease(lease.id) { result ->
            if (held === lease) {
                result
                    .onSuccess { context.scheduler.after(LEASE_RENEW_INTERVAL_MS) { renew(lease) } }
                    .onFailure { onRenewFailed(lease, it) }
            }
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
        val attempt = lastAttempt
        context.events.log("registration.failed", "error" to error)
        context.scheduler.after(RETRY_MS) { if (attempt == lastAttempt) start() }
    }

    companion object {
        /** The key of a process is this prefix followed by its name. */
        const val KEY_PREFIX = "auburnhall/processes/"

        /** Longer than short outages of the store, so that processes continue to exchange load reports during them. */
        private const val LEASE_TTL_MS = 10_000L
        private const val LEASE_RENEW_INTERVAL_MS = 2_000L
        private const val RETRY_MS = 1_000L

        /** Time until a registration is mirrored, also through other processes. */
        private const val MISSING_GRACE_MS = 2_000L
    }
}
