/*
 * A sample request that the build serves once to create the class-data archive; its response is discarded.
 */
package auburnhall.entry

import auburnhall.http.InboundRequest
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** The sample request, and a response writer that discards everything. */
internal object SampleExchange : ResponseWriter {
    override var onDisconnect: (() -> Unit)? = null

    /** The request, received at [nowMs]. */
    fun request(nowMs: Long) = InboundRequest(HttpMethod.GET, "/", newHeaders(), ByteArray(0), nowMs)

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
