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

    /** Polls exactly the engines of [addresses] from now on; new ones get a place of their own in the second. */
    fun aim(addresses: Map<InstanceId, String>) {
        targets.keys.retainAll(addresses.keys)
        val now = clock.monotonicMillis()
        addresses.entries.forEachIndexed { i, (id, address) ->
            val offset = ReplicaTiming.POLL_PERIOD_MILLIS * i / addresses.size
            targets.getOrPut(id) { Target(address, now + offset) }.address = address
        }
    }

    /** Sends the requests that are due. */
    fun tick() {
        val now = clock.monotonicMillis()
        val due = targets.filterValues { !it.inFlight && it.dueAt <= now }
        var free = MAX_IN_FLIGHT - targets.values.count { it.inFlight }
        var freeForSilent = MAX_SILENT_IN_FLIGHT - targets.values.count { it.inFlight && it.isSilent }
        val order = due.entries.sortedWith(compareBy({ it.value.isSilent }, { it.value.dueAt }))
        for ((id, target) in order) {
            val allowed = free > 0 && (!target.isSilent || freeForSilent > 0)
            if (!allowed) break
            free -= 1
            if (target.isSilent) freeForSilent -= 1
            ask(id, target, now)
        }
    }

    private fun ask(
        id: InstanceId,
        target: Target,
        now: Long,
    ) {
        target.inFlight = true
        target.dueAt = maxOf(target.dueAt + ReplicaTiming.POLL_PERIOD_MILLIS, now + MIN_GAP_MILLIS)
        val address = target.address
        loop.call(
            io = {
                val sentAt = clock.monotonicMillis()
                PollAnswer(id, sentAt, engines.status(address))
            },
            onResult = { onResult(target, it) },
        )
    }

    private fun onResult(
        target: Target,
        answer: PollAnswer,
    ) {
        target.inFlight = false
        when (answer.result) {
            is StatusResult.Success -> target.failures = 0
            is StatusResult.Error -> onFailure(target)
        }
        onAnswer(answer)
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
