/*
 * Which process adds up the load of a data centre. Answers the load of many processes on each other: beyond a few
 * dozen, telling every process each change takes more datagrams than requests, or comes too late to place a request
 * well.
 */
package auburnhall.routing

import auburnhall.core.Clock

/**
 * Chooses the collector of this process: the first of its data centre by name that is heard. Traffic thread only.
 */
class CollectorSelector(
    private val clock: Clock,
    private val self: String,
) {
    private var ranked: List<String> = listOf(self)
    private val pausedUntil = HashMap<String, Long>()
    private var current = self
    private var heardAt = clock.nowMs()

    /** The processes of this data centre, with or without this one, are [names]. */
    fun updateProcesses(names: Collection<String>) {
        ranked = (names.toSet() + self).sorted()
    }

    /** The collector [name] told the load. */
    fun onTotalReceived(name: String) {
        if (name == current) heardAt = clock.nowMs()
    }

    /** Whether what [name] tells counts. */
    fun isCurrent(name: String): Boolean = name == current

    /** The collector to report to; this process where it is the collector itself. */
    fun choose(): String {
        val now = clock.nowMs()
        pausedUntil.values.removeIf { it <= now }
        if (current != self && now - heardAt > SILENCE_MS) pausedUntil[current] = now + PAUSE_MS
        val chosen = ranked.first { it == self || it !in pausedUntil }
        if (chosen != current) {
            current = chosen
            heardAt = now
        }
        return chosen
    }

    private companion object {
        /** Several of the periods in which collectors repeat what they know, in milliseconds. */
        const val SILENCE_MS = 600L

        /** Time for which a collector that fell silent is not asked, in milliseconds. */
        const val PAUSE_MS = 3_000L
    }
}
