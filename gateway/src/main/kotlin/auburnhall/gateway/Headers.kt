/*
 * Which header fields pass between callers and plain services, and the path that a service sees.
 */
package auburnhall.gateway

import org.http4k.core.Uri

/** Fields that concern one connection, or that this process sets itself. */
private val NOT_FORWARDED =
    setOf(
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "authorization",
        "accept-encoding",
        "expect",
        "x-request-id",
    )

/** Fields of a service's answer that are not passed back. */
private val NOT_RETURNED = NOT_FORWARDED + setOf("content-type", "date", "server")

/** The caller's header fields for the service, and the request's id. */
internal fun forwardedHeaders(call: Call): List<HeaderField> =
    call.request.headers
        .filter { (name, value) -> value != null && name.lowercase() !in NOT_FORWARDED }
        .map { (name, value) -> HeaderField(name, value.orEmpty()) } +
        HeaderField("X-Request-Id", call.trail.requestId.value)

/** Whether a header field of a service's answer is passed back to the caller. */
internal fun isReturned(name: String): Boolean = name.lowercase() !in NOT_RETURNED

/** The path and query of [uri] below `/services/NAME`. */
internal fun servicePath(
    uri: Uri,
    name: String,
): String {
    val path = "/" + uri.path.removePrefix("/services/$name").removePrefix("/")
    return if (uri.query.isEmpty()) path else "$path?${uri.query}"
}
