/*
 * Headers with a limit for the number of fields. Each field takes far more memory than its shortest form on the wire,
 * so a limit for the bytes of a head alone would let a peer use many times as much memory.
 */
package auburnhall.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.TooLongHttpHeaderException

/** Decoder settings for heads, and trailers, of at most [maxHeadBytes] bytes and [BoundedHeaders.MAX_FIELDS] fields. */
internal fun boundedDecoderConfig(
    maxLineBytes: Int,
    maxHeadBytes: Int,
): HttpDecoderConfig =
    HttpDecoderConfig()
        .setMaxInitialLineLength(maxLineBytes)
        .setMaxHeaderSize(maxHeadBytes)
        .setMaxChunkSize(MAX_CHUNK_BYTES)
        .setHeadersFactory(BoundedHeadersFactory)
        .setTrailersFactory(BoundedHeadersFactory)

private object BoundedHeadersFactory : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = BoundedHeaders()

    override fun newEmptyHeaders(): HttpHeaders = BoundedHeaders()
}

/** Throws [TooLongHttpHeaderException] when more than [MAX_FIELDS] fields are added. */
internal class BoundedHeaders : DefaultHttpHeaders() {
    private var fields = 0

    override fun add(
        name: CharSequence,
        value: Any,
    ): HttpHeaders {
        count()
        return super.add(name, value)
    }

    override fun add(
        name: String,
        value: Any,
    ): HttpHeaders {
        count()
        return super.add(name, value)
    }

    private fun count() {
        if (++fields > MAX_FIELDS) throw TooLongHttpHeaderException("more than $MAX_FIELDS fields")
    }

    companion object {
        /** Many times as many fields as a message has. */
        const val MAX_FIELDS = 200
    }
}

/** Longest part of a body that a decoder passes on at once. */
private const val MAX_CHUNK_BYTES = 65_536
