/*
 * HTTP status codes that this project sends or reads.
 */
package auburnhall.core

/** Status codes by name; [CALLER_CLOSED] is never sent, it marks a caller that hung up. */
object HttpStatus {
    const val OK = 200
    const val BAD_REQUEST = 400
    const val UNAUTHORIZED = 401
    const val FORBIDDEN = 403
    const val NOT_FOUND = 404
    const val REQUEST_TIMEOUT = 408
    const val CONFLICT = 409
    const val CONTENT_TOO_LARGE = 413
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429
    const val HEADERS_TOO_LARGE = 431
    const val CALLER_CLOSED = 499
    const val INTERNAL_ERROR = 500
    const val BAD_GATEWAY = 502
    const val UNAVAILABLE = 503
    const val GATEWAY_TIMEOUT = 504
}
