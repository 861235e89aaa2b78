/*
 * Selects the collector of a data centre, the process that aggregates the load reports of all its processes. Designed
 * for large numbers of processes: beyond a few dozen, sending every change to every process would take more datagrams
 * than there are requests, or would arrive too late for good routing decisions.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Selects the first process of the data centre, by name, that is sending totals. Traffic thread only. */
class CollectorSelector(
    private val clock: Clock,
    private val self: String,
) {
    private var candidates: List<String> = listOf(self)
    private val excludedUntilMs = HashMap<String, Long>()
    private var current = self
    private var lastTotalAtMs = clock.nowMs()

    /** Sets the processes of this data centre; [names] may or may not include this one. */
    fun updateProcesses(names: Collection<String>) {
        candidates = (names.toSet() + self).sorted()
    }

    /** A load total was received from the collector [name]. */
    fun onTotalReceived(name: String) {
        if (name == current) lastTotalAtMs = clock.nowMs()
    }

    /** Whether load totals from [name] are used. */
    fun isCurrent(name: String): Boolean = name == current

    /** The collector to report to; this process if it is the collector itself. */
    fun choose(): String {
        val now = clock.nowMs()
        excludedUntilMs.values.removeIf { it <= now }
        if (current != self && now - lastTotalAtMs > COLLECTOR_TIMEOUT_MS) excludedUntilMs[current] = now + EXCLUSION_MS
        val chosen = candidates.first { it == self || it !in excludedUntilMs }
        if (chosen != current) {
            current = chosen
            lastTotalAtMs = now
        }
        return chosen
    }

    private companion object {
        /** Several times the interval at which collectors repeat unchanged totals. */
        const val COLLECTOR_TIMEOUT_MS = 600L

        /** Time for which a collector that stopped responding is not selected. */
        const val EXCLUSION_MS = 3_000L
    }
}
