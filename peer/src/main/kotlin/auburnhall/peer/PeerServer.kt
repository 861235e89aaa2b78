/*
 * The gRPC server through which other entry processes ask this one.
 */
package auburnhall.peer

import io.grpc.BindableService
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** A running gRPC server. */
interface PeerServer : AutoCloseable {
    /** The port in use. */
    val port: Int

    /** Ends calls in progress after a short time and stops. */
    override fun close()
}

/** Starts a [PeerServer] for [service] at [host]:[port]; port 0 takes any. Throws IOException when it is taken. */
fun PeerServer(
    host: String,
    port: Int,
    service: BindableService,
): PeerServer = RealPeerServer(host, port, service)

internal class RealPeerServer(
    host: String,
    port: Int,
    service: BindableService,
) : PeerServer {
    private val workers = Executors.newCachedThreadPool { r -> Thread(r, "peer").apply { isDaemon = true } }
    private val server: Server =
        NettyServerBuilder
            .forAddress(InetSocketAddress(host, port))
            .executor(workers)
            .addService(service)
            .build()
            .start()

    override val port: Int get() = server.port

    override fun close() {
        server.shutdown()
        if (!server.awaitTermination(GRACE_MILLIS, TimeUnit.MILLISECONDS)) server.shutdownNow()
        workers.shutdown()
    }

    private companion object {
        const val GRACE_MILLIS = 500L
    }
}
