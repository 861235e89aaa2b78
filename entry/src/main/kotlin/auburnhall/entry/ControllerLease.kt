/*
 * The lease under which this process holds the controller key, or claims it: how long it is valid, and its renewal. In
 * a new era of the store the lease may belong to another process, so renewals extend it only once the store is known to
 * hold the key still.
 */
package auburnhall.entry

import auburnhall.core.StoreError
import auburnhall.core.StoreLease
import auburnhall.core.StorePosition
import auburnhall.core.StoreTransaction
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Control thread only, but for [valid]. */
internal class ControllerLease(
    private val context: ControlContext,
) {
    private var confirmedEra = 0L

    @Volatile
    private var validUntilMs = 0L

    /** Its time to live in milliseconds. */
    val ttlMs = maxOf(TTL_MS, context.settings.minLeaseMs)

    /** Null while this process neither holds nor claims the key. */
    var lease: StoreLease? = null
        private set

    /** Whether the lease has certainly not expired. May be read from any thread. */
    val valid: Boolean get() = context.clock.nowMs() < validUntilMs

    /** The value of the controller key while it is held with this lease. */
    val keyValue: String? get() = lease?.let { "${context.settings.processName} ${it.id}" }

    /** Writes the controller key under a new lease, unless there is one; the result is the position of the write. */
    fun claim(done: (Result<StorePosition, StoreError>) -> Unit) {
        val requestedAtMs = context.clock.nowMs()
        context.store.grantLease(ttlMs) { granted ->
            granted.onSuccess { write(it, requestedAtMs, done) }.onFailure { done(Err(it)) }
        }
    }

    /** The store holds the key with this lease in its current era. */
    fun confirm() {
        confirmedEra = context.store.era
    }

    /** Renews the lease until it is dropped; calls [onExpired] when it has expired. */
    fun keep(onExpired: () -> Unit) {
        val held = lease ?: return
        context.scheduler.after(RENEW_INTERVAL_MS) { renew(held, onExpired) }
    }

    /** Gives the lease up, without a call to the store, and returns it. */
    fun drop(): StoreLease? = lease.also { lease = null }

    private fun write(
        granted: StoreLease,
        requestedAtMs: Long,
        done: (Result<StorePosition, StoreError>) -> Unit,
    ) {
        lease = granted
        validUntilMs = requestedAtMs + granted.ttlMs - SAFETY_MARGIN_MS
        val value = checkNotNull(keyValue).toByteArray()
        val put = StoreTransaction.Put(Leadership.CONTROLLER_KEY, value, granted.id)
        context.store.commit(StoreTransaction(mapOf(Leadership.CONTROLLER_KEY to 0L), listOf(put))) { written ->
            val dropped = lease !== granted
            if (!dropped) written.onFailure { if (it is StoreError.Conflict) lease = null }
            done(if (dropped) Err(StoreError.NoSuchLease) else written.map { StorePosition(context.store.era, it) })
        }
    }

    private fun renew(
        held: StoreLease,
        onExpired: () -> Unit,
    ) {
        if (lease !== held) return
        val requestedAtMs = context.clock.nowMs()
        context.store.renewLease(held.id) { result ->
            if (lease === held) {
                result
                    .onSuccess { onRenewed(held, requestedAtMs) }
                    .onFailure { if (it is StoreError.NoSuchLease) onExpired() }
            }
        }
        keep(onExpired)
    }

    private fun onRenewed(
        held: StoreLease,
        requestedAtMs: Long,
    ) {
        if (confirmedEra == context.store.era) validUntilMs = requestedAtMs + held.ttlMs - SAFETY_MARGIN_MS
    }

    private companion object {
        /** Short, since replicas that lose a member after the controller failed stay down until the lease expires. */
        const val TTL_MS = 2_000L
        const val RENEW_INTERVAL_MS = 600L

        /** The term ends this much before the lease, since orders in flight at its end arrive within this time. */
        const val SAFETY_MARGIN_MS = 300L
    }
}
