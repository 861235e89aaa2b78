/*
 * The gRPC server of the key-value service.
 */
package auburnhall.standin.platform

import io.grpc.BindableService
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit

/** Serves [state] on [host] and [port]; port 0 takes any. */
class KeyValueServer(
    host: String,
    port: Int,
    private val state: KeyValueState,
    private val leases: LeaseTable,
    private val gate: FaultGate,
) : AutoCloseable {
    private val lock = Any()
    private val watches = WatchService(state, lock, gate)
    private val timer = Executors.newSingleThreadScheduledExecutor(daemon("leases"))
    private val calls = Executors.newCachedThreadPool(daemon("kv"))
    private val server: Server = serve(host, port)

    /** The port in use. */
    val port: Int get() = server.port

    init {
        state.onChange = watches::onChange
        timer.scheduleWithFixedDelay(::expire, EXPIRY_MILLIS, EXPIRY_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Puts [order] into effect. */
    fun setFaults(order: FaultOrder) {
        gate.set(order)
        if (order.compact) synchronized(lock) { state.compact() }
        if (order.breakWatches || order.unavailableMillis > 0) watches.breakAll()
    }

    /** The calls so far. */
    fun counts(): CallCounts = gate.counts(watches.waiting)

    override fun close() {
        timer.shutdownNow()
        server.shutdownNow()
        calls.shutdownNow()
    }

    private fun expire() = synchronized(lock) { leases.expire() }

    private fun serve(
        host: String,
        port: Int,
    ): Server {
        val keys = KvService(state, leases, lock, gate)
        val services = listOf<BindableService>(keys, watches, LeaseService(leases, lock, gate))
        val builder =
            NettyServerBuilder
                .forAddress(InetSocketAddress(host, port))
                .executor(calls)
                .maxInboundMessageSize(MAX_REQUEST_BYTES)
                .permitKeepAliveTime(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
        services.forEach { builder.addService(it) }
        return builder.build().start()
    }

    private fun daemon(name: String) = ThreadFactory { r -> Thread(r, name).apply { isDaemon = true } }

    private companion object {
        const val EXPIRY_MILLIS = 100L
        const val KEEP_ALIVE_MILLIS = 1_000L
        const val MAX_REQUEST_BYTES = 2 * 1024 * 1024
    }
}
