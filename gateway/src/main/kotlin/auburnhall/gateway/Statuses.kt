/*
 * The status codes of HTTP that the gateway sends itself or gives a meaning to.
 */
package auburnhall.gateway

internal const val UNAUTHORIZED = 401
internal const val NOT_FOUND = 404
internal const val REQUEST_TIMEOUT = 408
internal const val MISDIRECTED = 421
internal const val TOO_MANY_REQUESTS = 429
internal const val BAD_GATEWAY = 502
internal const val UNAVAILABLE = 503
internal const val GATEWAY_TIMEOUT = 504
