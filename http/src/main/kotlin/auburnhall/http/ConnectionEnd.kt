/*
 * Ends a caller's connection so that the caller receives what was handed over before. A socket that is closed while its
 * peer still sends is reset, and a reset drops what the operating system has not sent yet: so only the output is shut
 * down at first, and what arrives is read and dropped until the caller closes the connection. One that has carried only
 * short responses is closed at once when it is idle or its last response has said so: a request that crosses the close
 * is not read then, so that its caller knows that it was not run, and a stop does not wait for callers that have all.
 */
package auburnhall.http

import io.netty.buffer.ByteBufHolder
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.SocketChannel
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Follows what was handed over to a connection, and ends it. Used on its event loop; [context] is set first. */
internal class ConnectionEnd(
    private val server: HttpServer,
    private val timeouts: CallerTimeouts,
) {
    lateinit var context: ChannelHandlerContext

    /** Called when something that was handed over cannot be written, though the caller is there. */
    var onWriteError: (Throwable) -> Unit = { }

    /** Whether the connection ends with what was handed over to it; nothing else that is received on it is served. */
    var begun = false
        private set

    /**
     * Number of responses that were handed over to the channel and are not sent completely. The last one counts until
     * the caller has closed the connection.
     */
    var unsentResponses = 0
        private set

    /** Bytes of the response that is being handed over. */
    private var responseBytes = 0L

    /** Whether the operating system may hold a long response which the caller has not read. */
    private var hasSentLong = false

    private val peer: String
        get() =
            context
                .channel()
                .remoteAddress()
                ?.let { "$it" }
                .orEmpty()

    /** Hands [message] over to the channel. */
    fun write(message: Any): ChannelFuture {
        if (message is ByteBufHolder) responseBytes += message.content().readableBytes()
        if (responseBytes > MAX_SHORT_RESPONSE_BYTES) hasSentLong = true
        return context.writeAndFlush(message).addListener {
            val cause = it.cause()
            if (cause != null && cause !is IOException) onWriteError(cause)
        }
    }

    /** A response was handed over as [written], and the connection goes on. */
    fun onHandedOver(written: ChannelFuture) {
        unsentResponses++
        responseBytes = 0
        written.addListener {
            unsentResponses--
            timeouts.onActivity()
        }
    }

    /**
     * Ends the connection once [written] and what was handed over before are sent. With [whileReceiving], the caller is
     * not expected to know yet that the connection ends, and may send more.
     */
    fun after(
        written: ChannelFuture,
        whileReceiving: Boolean,
    ) {
        begun = true
        unsentResponses++
        written.addListener { if (whileReceiving || hasSentLong) linger() else context.close() }
    }

    /** Closes the connection now because of [reason] and [cause]; drops what is unsent and [unanswered] requests. */
    fun giveUp(
        reason: CloseReason,
        cause: Throwable?,
        unanswered: Int,
    ) {
        val unsentBytes =
            context
                .channel()
                .unsafe()
                .outboundBuffer()
                ?.totalPendingWriteBytes() ?: 0
        report(reason, cause, unsentBytes, unanswered)
        context.close()
    }

    /** Reports what is lost, if anything is. */
    fun report(
        reason: CloseReason,
        cause: Throwable?,
        unsentBytes: Long,
        unanswered: Int,
    ) {
        if (unsentBytes == 0L && unanswered == 0) return
        server.onCut(CutConnection(peer, reason, unsentBytes, unanswered, cause?.let(::describe)))
    }

    /** Reports an unexpected error, which ends only the request that it belongs to. */
    fun reportError(cause: Throwable) = server.onHandlerError(HandlerError(peer, describe(cause)))

    /** Ends the connection, on which nothing is in progress; one whose caller may still read counts until then. */
    fun endIdle() {
        if (!hasSentLong) {
            context.close()
        } else {
            unsentResponses++
            linger()
        }
    }

    private fun linger() {
        begun = true
        timeouts.onActivity()
        (context.channel() as SocketChannel).shutdownOutput()
        context.executor().schedule({ context.close() }, MAX_LINGER_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Longest wait for a caller to read what the operating system still holds, a few megabytes, and to close. */
        const val MAX_LINGER_MS = 5_000L

        /** Longest body that a caller has received by the time its connection counts as idle. */
        const val MAX_SHORT_RESPONSE_BYTES = 65_536L
    }
}
