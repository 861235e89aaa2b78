/*
 * The requests that a connection has carried, of which a late response may still arrive on it.
 */
package auburnhall.http

/** Remembers the latest requests by what their responses repeat; those without a correlation are not remembered. */
internal class CarriedRequests {
    private val values = ArrayDeque<String>()

    /** [request] is sent on the connection. */
    fun add(request: OutboundRequest) {
        values.addLast(request.correlation?.value ?: return)
        if (values.size > MAX_REMEMBERED) values.removeFirst()
    }

    /** Whether an earlier attempt of [request] was sent on the connection. */
    operator fun contains(request: OutboundRequest): Boolean = request.correlation?.value in values

    private companion object {
        const val MAX_REMEMBERED = 16
    }
}
