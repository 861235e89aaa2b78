/*
 * Event listener that records events for the assertions of a test.
 */
package auburnhall.test

import auburnhall.core.Event
import auburnhall.core.EventListener
import java.util.concurrent.CopyOnWriteArrayList

class RecordingListener : EventListener {
    /** Recorded events, the oldest first; may be read while a test goes on. */
    val events: MutableList<Event> = CopyOnWriteArrayList()

    override fun onEvent(event: Event) {
        events.add(event)
    }

    /** Names of the recorded events. */
    val names: List<String> get() = events.map { it.name }
}
