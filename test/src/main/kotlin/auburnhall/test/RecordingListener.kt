/*
 * Keeps events for a test to look at.
 */
package auburnhall.test

import auburnhall.core.Event
import auburnhall.core.EventListener

/** Records all events. */
class RecordingListener : EventListener {
    /** What happened, the oldest first. */
    val events = ArrayList<Event>()

    override fun onEvent(event: Event) {
        events.add(event)
    }

    /** Names of what happened. */
    val names: List<String> get() = events.map { it.name }
}
