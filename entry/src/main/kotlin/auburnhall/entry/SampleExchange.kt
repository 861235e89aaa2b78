/*
 * A request that the build serves once, and its answer, which nobody gets.
 */
package auburnhall.entry

import auburnhall.http.InboundRequest
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** Drops the answer to a sample request. */
internal object SampleExchange : ResponseWriter {
    override var onDisconnect: (() -> Unit)? = null

    /** The request, received at [now]. */
    fun request(now: Long) = InboundRequest(HttpMethod.GET, "/", newHeaders(), ByteArray(0), now)

    override fun send(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    ) = Unit

    override fun start(
        status: Int,
        headers: HttpHeaders,
    ) = Unit

    override fun write(content: ByteBuf) {
        content.release()
    }

    override fun finish() = Unit

    override fun abort() = Unit
}
