/*
 * Connections to other entry processes, opened when first used and kept.
 */
package auburnhall.peer

import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.proto.peer.PeerGrpc
import io.grpc.ManagedChannel
import io.grpc.StatusRuntimeException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Outcome of a call to another entry process. */
sealed interface PeerResult<out T> {
    /** The peer answered [value]. */
    data class Success<T>(
        val value: T,
    ) : PeerResult<T>

    /** No answer came; the peer may have received the call. */
    data class Error(
        val error: StepError,
    ) : PeerResult<Nothing>
}

/** Calls other entry processes by address. Safe for use by any thread; a call blocks its thread. */
class PeerChannels : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Makes [call] at [address] and waits at most [timeoutMillis] for its answer. */
    fun <T> call(
        address: String,
        step: Step,
        timeoutMillis: Long,
        call: (PeerGrpc.PeerBlockingStub) -> T,
    ): PeerResult<T> =
        try {
            val stub = PeerGrpc.newBlockingStub(channel(address))
            PeerResult.Success(call(stub.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS)))
        } catch (e: StatusRuntimeException) {
            PeerResult.Error(StepError(step, address, e.status.toString()))
        }

    /** A stub for streaming calls to [address]. */
    fun streaming(address: String): PeerGrpc.PeerStub = PeerGrpc.newStub(channel(address))

    /** Closes connections to addresses that are not in [addresses]. */
    fun keepOnly(addresses: Set<String>) {
        channels.keys.filter { it !in addresses }.forEach { channels.remove(it)?.shutdownNow() }
    }

    override fun close() {
        channels.values.forEach { it.shutdownNow() }
        channels.clear()
    }

    private fun channel(address: String): ManagedChannel =
        channels.computeIfAbsent(address) {
            val host = it.substringBeforeLast(':')
            val port = it.substringAfterLast(':').toInt()
            NettyChannelBuilder.forAddress(InetSocketAddress(host, port)).usePlaintext().build()
        }
}
