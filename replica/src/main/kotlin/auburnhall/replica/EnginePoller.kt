/*
 * Asks engines for their status, each about once a second and spread over the second, with a bounded number of calls at
 * once. Silent engines may take only part of the calls, so that a dark domain does not hold up the others.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.InstanceId
import auburnhall.engine.EngineClient
import auburnhall.engine.StatusResult

/** An answer, or the lack of one, to a status request sent at [sentAt]. */
internal data class PollAnswer(
    val instance: InstanceId,
    val sentAt: Long,
    val result: StatusResult,
)

/** Polls engines; used on the control thread, where [onAnswer] is called too. */
internal class EnginePoller(
    private val engines: EngineClient,
    private val loop: ControlLoop,
    private val clock: Clock,
    private val onAnswer: (PollAnswer) -> Unit,
) {
    private class Target(
        var address: String,
        var dueAt: Long,
        var inFlight: Boolean = false,
        var failures: Int = 0,
    ) {
        val isSilent: Boolean get() = failures > 0
    }

    private val targets = LinkedHashMap<InstanceId, Target>()
    private val queue = ArrayDeque<InstanceId>()
    private var inFlight = 0
    private var silentInFlight = 0

    /** Polls exactly the engines of [addresses] from now on; new ones get a place of their own in the second. */
    fun aim(addresses: Map<InstanceId, String>) {
        targets.keys.retainAll(addresses.keys)
        val now = clock.monotonicMillis()
        addresses.entries.forEachIndexed { i, (id, address) ->
            val offset = ReplicaTiming.POLL_PERIOD_MILLIS * i / addresses.size
            targets.getOrPut(id) { Target(address, now + offset) }.address = address
        }
    }

    /** Queues what is due, silent engines last, and sends as many requests as may be under way at once. */
    fun tick() {
        val now = clock.monotonicMillis()
        val order = compareBy<Map.Entry<InstanceId, Target>>({ it.value.isSilent }, { it.value.dueAt })
        queue.clear()
        queue +=
            targets.entries
                .filter { !it.value.inFlight && it.value.dueAt <= now }
                .sortedWith(order)
                .map { it.key }
        sendQueued()
    }

    private fun sendQueued() {
        while (queue.isNotEmpty() && inFlight < MAX_IN_FLIGHT) {
            val target = targets[queue.first()]
            if (target?.isSilent == true && silentInFlight >= MAX_SILENT_IN_FLIGHT) return
            val id = queue.removeFirst()
            if (target != null) ask(id, target)
        }
    }

    private fun ask(
        id: InstanceId,
        target: Target,
    ) {
        val silent = target.isSilent
        target.inFlight = true
        inFlight += 1
        if (silent) silentInFlight += 1
        target.dueAt = maxOf(target.dueAt + ReplicaTiming.POLL_PERIOD_MILLIS, clock.monotonicMillis() + MIN_GAP_MILLIS)
        val address = target.address
        loop.call(
            io = {
                val sentAt = clock.monotonicMillis()
                PollAnswer(id, sentAt, engines.status(address))
            },
            onResult = {
                if (silent) silentInFlight -= 1
                onResult(target, it)
            },
        )
    }

    private fun onResult(
        target: Target,
        answer: PollAnswer,
    ) {
        target.inFlight = false
        inFlight -= 1
        when (answer.result) {
            is StatusResult.Success -> target.failures = 0
            is StatusResult.Error -> onFailure(target)
        }
        onAnswer(answer)
        sendQueued()
    }

    private fun onFailure(target: Target) {
        target.failures += 1
        if (target.failures > FAILURES_BEFORE_BACK_OFF) {
            target.dueAt = clock.monotonicMillis() + ReplicaTiming.SILENT_POLL_PERIOD_MILLIS
        }
    }

    private companion object {
        const val MAX_IN_FLIGHT = 64
        const val MAX_SILENT_IN_FLIGHT = 32
        const val MIN_GAP_MILLIS = 500L
        const val FAILURES_BEFORE_BACK_OFF = 10
    }
}
