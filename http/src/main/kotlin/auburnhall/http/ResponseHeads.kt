/*
 * What the head of a response says about its end, its connection, and about itself.
 */
package auburnhall.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** How the response states where its body ends. */
internal fun HttpResponse.framing(): Framing =
    when {
        HttpUtil.isTransferEncodingChunked(this) -> Framing.CHUNKED
        HttpUtil.isContentLengthSet(this) -> Framing.LENGTH
        status().code() in BODILESS_STATUSES -> Framing.LENGTH
        else -> Framing.CLOSE
    }

/** Time, in milliseconds, for which the connection may be idle before it is used again; unlimited if not stated. */
internal fun HttpResponse.idleLimitMs(): Long {
    val value = headers().get("Keep-Alive").orEmpty()
    val timeoutS =
        TIMEOUT_PARAMETER
            .find(value)
            ?.groupValues
            ?.get(1)
            ?.toLongOrNull()
    return timeoutS?.let { (it * MS_PER_SECOND * IDLE_TIMEOUT_SHARE).toLong() } ?: Long.MAX_VALUE
}

/** Why the response cannot be used; null if it can. */
internal fun HttpResponse.fault(): String? =
    when {
        status().code() !in STATUSES -> "invalid status ${status().code()}"
        isJoinedOfTwo() -> "a status line within the head of a response"
        hasUnknownTransferCoding() -> "unknown transfer coding ${headers().get(HttpHeaderNames.TRANSFER_ENCODING)}"
        else -> null
    }

/** Whether the trailers contain the head of another response, since the end of this one is missing. */
internal fun LastHttpContent.holdsHead(correlation: Correlation?): Boolean =
    trailingHeaders().any { (name, value) ->
        name.equals(correlation?.header, ignoreCase = true) || STATUS_LINE.containsMatchIn(value)
    }

/**
 * A search for other responses in the body, which spell the header of [correlation] as this one does: for a second copy
 * where the body states its end, and so has no room for more than the beginning of one; else for any response.
 */
internal fun HttpResponse.searchForOther(correlation: Correlation): HeadSearch {
    val header = headers().names().first { it.equals(correlation.header, ignoreCase = true) }
    return HeadSearch(if (framing() == Framing.CLOSE) "$header:" else "$header: ${correlation.value}")
}

/**
 * Whether a status line stands within the head. It then consists of the beginning of one response, broken off, and of
 * the rest of another one: neither its status nor its fields can be relied on.
 */
private fun HttpResponse.isJoinedOfTwo(): Boolean =
    STATUS_LINE.containsMatchIn(status().reasonPhrase()) || headers().any { STATUS_LINE.containsMatchIn(it.value) }

/**
 * Share of the peer's idle timeout during which a connection is reused, so that the peer does not close it while a
 * request is being sent.
 */
private const val IDLE_TIMEOUT_SHARE = 0.7
private const val MS_PER_SECOND = 1_000
private val TIMEOUT_PARAMETER = Regex("timeout=(\\d+)")
private val STATUS_LINE = Regex("HTTP/1\\.[01] [1-5]\\d\\d")

/** The statuses that HTTP defines classes for; any other one has no meaning that could be passed on. */
private val STATUSES = HttpResponseStatus.CONTINUE.code()..LAST_STATUS
private const val LAST_STATUS = 599

/** Statuses of responses that have no body, whatever their headers say. */
private val BODILESS_STATUSES = setOf(HttpResponseStatus.NO_CONTENT.code(), HttpResponseStatus.NOT_MODIFIED.code())
