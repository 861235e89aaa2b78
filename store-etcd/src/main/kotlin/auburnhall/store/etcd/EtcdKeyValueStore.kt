/*
 * The key-value service over the etcd v3 gRPC protocol, reduced to reads, transactions on one key, leases and watches.
 */
package auburnhall.store.etcd

import auburnhall.core.Clock
import auburnhall.store.KeyValueStore
import auburnhall.store.LeaseResult
import auburnhall.store.ReadResult
import auburnhall.store.Watch
import auburnhall.store.WatchListener
import auburnhall.store.WriteResult

/**
 * Where the key-value service is.
 *
 * @property address `ip:port`.
 * @property callTimeoutMillis time after which a call that has no answer ends.
 */
data class EtcdSettings(
    val address: String,
    val callTimeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
) {
    private companion object {
        const val DEFAULT_TIMEOUT_MILLIS = 2_000L
    }
}

/** A [KeyValueStore] met over the etcd v3 protocol. It reconnects by itself after an outage. */
interface EtcdKeyValueStore : KeyValueStore

/** Returns an [EtcdKeyValueStore] that connects when it is first used. Calls are reported to [listener]. */
fun EtcdKeyValueStore(
    settings: EtcdSettings,
    listener: StoreListener = StoreListener.NONE,
    clock: Clock = Clock(),
): EtcdKeyValueStore = RealEtcdKeyValueStore(EtcdConnection(settings, clock), listener, clock)

internal class RealEtcdKeyValueStore(
    private val connection: EtcdConnection,
    listener: StoreListener,
    clock: Clock,
) : EtcdKeyValueStore {
    private val calls = CallReporter(listener, clock)
    private val keys = EtcdKeys(connection, calls)
    private val leases = EtcdLeases(connection, calls)
    private val watches = EtcdWatches(connection, calls)

    override fun get(key: String): ReadResult = keys.get(key)

    override fun list(prefix: String): ReadResult = keys.list(prefix)

    override fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: ByteArray,
        lease: Long,
    ): WriteResult = keys.put(key, expectedRevision, value, lease)

    override fun compareAndDelete(
        key: String,
        expectedRevision: Long,
    ): WriteResult = keys.delete(key, expectedRevision)

    override fun grantLease(ttlSeconds: Long): LeaseResult = leases.grant(ttlSeconds)

    override fun keepAlive(lease: Long): LeaseResult = leases.keepAlive(lease)

    override fun revokeLease(lease: Long): LeaseResult = leases.revoke(lease)

    override fun watch(
        prefix: String,
        afterRevision: Long,
        listener: WatchListener,
    ): Watch = watches.open(prefix, afterRevision, listener)

    override fun close() = connection.close()
}
