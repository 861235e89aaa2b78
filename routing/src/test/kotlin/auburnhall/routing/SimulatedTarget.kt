/*
 * A target of the spreading simulation: it runs as many requests as it has slots and queues the others in order.
 */
package auburnhall.routing

import auburnhall.test.FakeScheduler
import kotlin.random.Random

/** One request of the simulation, [receivedAtMs] by [process]. */
internal class SimulatedRequest(
    val process: SimulatedChooser,
    val receivedAtMs: Long,
) {
    /** Whether the first event has arrived. */
    var begun = false

    /** Increased at each sending; events of an earlier one are ignored. */
    var sending = 0
}

/** Runs requests at [target]. */
internal class SimulatedTarget(
    val target: Target,
    private val time: FakeScheduler,
    private val random: Random,
    private val onFirstEvent: (SimulatedRequest) -> Unit,
) {
    private val running = LinkedHashSet<SimulatedRequest>()
    private val queue = ArrayDeque<SimulatedRequest>()
    private var reading = 0

    /** Requests in progress and queued. */
    val requests: Int get() = running.size + queue.size
    val loadPerSlot: Double get() = requests.toDouble() / target.slots

    fun receive(request: SimulatedRequest) {
        queue.add(request)
        startNext()
    }

    /** Ends all requests and returns them. */
    fun fail(): List<SimulatedRequest> {
        val lost = running + queue
        running.clear()
        queue.clear()
        reading = 0
        return lost.toList()
    }

    private fun startNext() {
        if (running.size >= target.slots) return
        val request = queue.removeFirstOrNull() ?: return
        val sending = request.sending
        running.add(request)
        time.after(FIRST_EVENT_MS + PROMPT_DELAY_MS * reading++) { if (request.sending == sending) begin(request) }
    }

    private fun begin(request: SimulatedRequest) {
        reading--
        val sending = request.sending
        onFirstEvent(request)
        time.after(random.nextLong(MIN_STREAM_MS, MAX_STREAM_MS)) { if (request.sending == sending) end(request) }
    }

    private fun end(request: SimulatedRequest) {
        running.remove(request)
        request.process.onEnded(request, target)
        startNext()
    }

    private companion object {
        const val FIRST_EVENT_MS = 165L

        /** Delay of the first event for each other prompt that is read at the same time. */
        const val PROMPT_DELAY_MS = 15L
        const val MIN_STREAM_MS = 300L
        const val MAX_STREAM_MS = 1_500L
    }
}
