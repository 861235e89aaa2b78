/*
 * The response to a request that was not received completely, after which its connection ends.
 */
package auburnhall.http

import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** A refusal with [status]. */
internal fun refusal(status: HttpResponseStatus): FullHttpResponse {
    val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
    val headers = response.headers()
    headers.set(HttpHeaderNames.CONTENT_LENGTH, 0)
    headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) headers.set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_S)
    return response
}

/** When to try again after the requests of others have used up the memory. */
private const val RETRY_AFTER_S = 1
