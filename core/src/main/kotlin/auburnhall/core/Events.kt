/*
 * Typed events that report the decisions and observations of a process, each written as one log line.
 */
package auburnhall.core

/** An event, with the data that explains it. */
data class Event(
    /** A dotted name, such as `request.refused`. */
    val name: String,
    /** ID of the request that the event concerns; null if it concerns none. */
    val request: String? = null,
    /** Names and values of the log fields, in the order in which they are logged. */
    val details: List<Pair<String, Any?>> = emptyList(),
)

/** Receives events. Implementations return at once and never throw. */
fun interface EventListener {
    /** Called on the thread on which [event] occurred. */
    fun onEvent(event: Event)

    companion object {
        /** Ignores all events. */
        val NONE = EventListener { }
    }
}

/** Logs an event that concerns no single request. */
fun EventListener.log(
    name: String,
    vararg details: Pair<String, Any?>,
) = onEvent(Event(name, null, details.asList()))

/** Logs an event that concerns the request [id]. */
fun EventListener.logRequest(
    name: String,
    id: String,
    vararg details: Pair<String, Any?>,
) = onEvent(Event(name, id, details.asList()))
