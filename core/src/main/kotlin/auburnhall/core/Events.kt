/*
 * What a process decides and learns, as typed events: one line of the log each.
 */
package auburnhall.core

/** Something that happened, with what explains it. */
data class Event(
    /** A dotted name, such as `request.refused`. */
    val name: String,
    /** The request that it concerns; null when it concerns none. */
    val request: String? = null,
    /** What decided it, in the order in which it is logged. */
    val details: List<Pair<String, Any?>> = emptyList(),
)

/** Receives events. Implementations return at once and never throw. */
fun interface EventListener {
    /** Called on the thread on which [event] happened. */
    fun onEvent(event: Event)

    companion object {
        /** Ignores all events. */
        val NONE = EventListener { }
    }
}

/** Logs what happened to no request in particular. */
fun EventListener.log(
    name: String,
    vararg details: Pair<String, Any?>,
) = onEvent(Event(name, null, details.asList()))

/** Logs what happened to the request [id]. */
fun EventListener.logRequest(
    name: String,
    id: String,
    vararg details: Pair<String, Any?>,
) = onEvent(Event(name, id, details.asList()))
