/*
 * Counts the requests that are still in progress in evacuated data centres, by which operators see that one is empty.
 * Nothing is counted while no data centre is evacuated, or once all that are have become empty.
 */
package auburnhall.gateway

import auburnhall.core.log

/** The requests of this process in evacuated data centres. Traffic thread only, except [count]. */
internal class EvacuatedRequests(
    private val context: GatewayContext,
    /** All requests in progress. */
    private val requests: () -> Collection<ForwardedRequest>,
) {
    /** Begin of each evacuation, in milliseconds of the monotonic clock, by data centre. */
    private val begunAtMs = HashMap<String, Long>()

    /** Evacuated data centres in which requests may be in progress. */
    private val occupied = HashSet<String>()
    private var checking = false

    /** Number of requests in progress there, as last counted; may be read on any thread. */
    @Volatile
    var count = 0
        private set

    /** The data centres [evacuated] are, and no others. */
    fun onEvacuated(evacuated: Set<String>) {
        begunAtMs.keys.retainAll(evacuated)
        occupied.retainAll(evacuated)
        occupied.addAll(evacuated - begunAtMs.keys)
        evacuated.forEach { begunAtMs.putIfAbsent(it, context.clock.nowMs()) }
        update()
        checkLater()
    }

    private fun update() {
        val counts = requests().mapNotNull { it.dataCentre }.groupingBy { it }.eachCount()
        val emptied = occupied.filter { it !in counts }
        occupied.removeAll(emptied.toSet())
        count = occupied.sumOf { counts.getValue(it) }
        emptied.forEach(::logEmpty)
    }

    private fun logEmpty(dataCentre: String) {
        val afterMs = context.clock.nowMs() - begunAtMs.getValue(dataCentre)
        context.listener.log("evacuation.empty", "data_centre" to dataCentre, "after_ms" to afterMs)
    }

    private fun checkLater() {
        if (checking || occupied.isEmpty()) return
        checking = true
        context.scheduler.after(CHECK_PERIOD_MS) {
            checking = false
            update()
            checkLater()
        }
    }

    private companion object {
        /** A small part of the duration of a request, and few counts a second. */
        const val CHECK_PERIOD_MS = 250L
    }
}
