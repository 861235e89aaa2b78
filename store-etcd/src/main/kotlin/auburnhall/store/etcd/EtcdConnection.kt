/*
 * The one connection to the key-value service.
 */
package auburnhall.store.etcd

import auburnhall.core.Clock
import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Holds the channel. It reconnects at most once per [RECONNECT_MILLIS], however long the outage has lasted. */
internal class EtcdConnection(
    settings: EtcdSettings,
    private val clock: Clock,
) : AutoCloseable {
    val address = settings.address
    val callTimeoutMillis = settings.callTimeoutMillis
    val channel: ManagedChannel = open(settings.address)
    private val reconnectAt = AtomicLong(Long.MIN_VALUE)

    /** Cuts the channel's own back-off short after a call found the service unreachable. */
    fun onFailure(status: Status) {
        if (status.code != Status.Code.UNAVAILABLE) return
        val now = clock.monotonicMillis()
        val at = reconnectAt.get()
        if (now < at) return
        if (reconnectAt.compareAndSet(at, now + RECONNECT_MILLIS)) channel.resetConnectBackoff()
    }

    override fun close() {
        channel.shutdownNow()
    }

    private fun open(address: String): ManagedChannel {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        return NettyChannelBuilder
            .forAddress(InetSocketAddress(host, port))
            .usePlaintext()
            .maxInboundMessageSize(MAX_REPLY_BYTES)
            .keepAliveTime(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
            .keepAliveTimeout(KEEP_ALIVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .build()
    }

    private companion object {
        const val RECONNECT_MILLIS = 1_000L
        const val KEEP_ALIVE_MILLIS = 10_000L
        const val KEEP_ALIVE_TIMEOUT_MILLIS = 4_000L
        const val MAX_REPLY_BYTES = 64 * 1024 * 1024
    }
}

/** Whether the service itself said that it did not and will not carry the call out. */
internal fun Status.isRefusal(): Boolean =
    when (code) {
        Status.Code.RESOURCE_EXHAUSTED, Status.Code.INVALID_ARGUMENT, Status.Code.NOT_FOUND -> true
        else -> false
    }

internal fun Status.describe(): String = listOfNotNull(code.name, description).joinToString(": ")
