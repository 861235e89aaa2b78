/*
 * Admission as traffic threads see it: each waits on a condition of its own until the queue has decided.
 */
package auburnhall.limits

import auburnhall.core.Clock
import auburnhall.core.HttpStatus
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.ReplicaStatus
import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.routing.RetryBudget
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

internal class RealAdmission(
    private val queue: AdmissionQueue,
    private val budget: RetryBudget,
    private val clock: Clock,
    private val listener: AdmissionListener,
) : Admission,
    QueueAccess {
    private val lock = ReentrantLock()

    /** Called, without the lock, when a request waits for a share of its customer's limits. */
    @Volatile
    var onShort: () -> Unit = {}

    override fun admit(request: AdmissionRequest): AdmissionResult {
        if (isRetry(request) && !budget.tryRetry()) return refused(request, Reason.ENGINE_FAILED, null)
        val waiting = enter(request)
        await(waiting)
        val waited = clock.monotonicMillis() - waiting.arrivedAtMillis
        return when (val v = checkNotNull(waiting.verdict)) {
            is Verdict.Place -> {
                listener.onAdmitted(request.customer, waited)
                AdmissionResult.Admitted(Ticket(waiting, v, waited))
            }

            is Verdict.Refused -> {
                listener.onRefused(request.customer, v.reason, waited)
                refused(request, v.reason, v.retryAfterSeconds)
            }
        }
    }

    override fun <T> locked(block: (AdmissionQueue) -> T): T =
        lock.withLock {
            val result = block(queue)
            queue.dispatch(clock.monotonicMillis())
            result
        }

    private fun enter(request: AdmissionRequest): WaitingRequest {
        val short: Boolean
        val waiting: WaitingRequest
        lock.withLock {
            waiting = queue.offer(request, clock.monotonicMillis())
            if (waiting.verdict == null) queue.dispatch(clock.monotonicMillis())
            short = waiting.verdict == null && queue.isShort
        }
        if (short) onShort()
        return waiting
    }

    private fun await(waiting: WaitingRequest) =
        lock.withLock {
            val decided = lock.newCondition()
            waiting.onDecided = { decided.signal() }
            try {
                while (waiting.verdict == null) {
                    decided.await(wakeInMillis(waiting), TimeUnit.MILLISECONDS)
                    if (waiting.verdict == null) queue.dispatch(clock.monotonicMillis())
                }
            } finally {
                queue.withdraw(waiting)
            }
        }

    private fun wakeInMillis(waiting: WaitingRequest): Long {
        val now = clock.monotonicMillis()
        val wake = if (waiting.shareBy > now) minOf(waiting.shareBy, waiting.latestStart) else waiting.latestStart
        return (wake + 1 - now).coerceIn(1, LONGEST_NAP_MILLIS)
    }

    private fun isRetry(request: AdmissionRequest) = request.resumes || request.excluded.isNotEmpty()

    private fun refused(
        request: AdmissionRequest,
        reason: Reason,
        retryAfterSeconds: Long?,
    ): AdmissionResult {
        val run = if (isRetry(request)) RunState.MAY_HAVE_RUN else RunState.NOT_RUN
        val error = StepError(Step.ADMIT, request.model, reason.code)
        val retry = retryAfterSeconds.takeIf { reason.status != HttpStatus.BAD_GATEWAY }
        return AdmissionResult.Refused(Refusal(reason, run, error, retry))
    }

    private inner class Ticket(
        private val waiting: WaitingRequest,
        private val place: Verdict.Place,
        override val waitedMillis: Long,
    ) : AdmissionTicket {
        private val finished = AtomicBoolean()
        private val started = AtomicBoolean()

        override val replica: ReplicaStatus get() = place.replica

        override fun onFirstToken() {
            if (!started.compareAndSet(false, true)) return
            lock.withLock { queue.onFirstToken(waiting, place, clock.monotonicMillis()) }
        }

        override fun finish(
            outcome: TicketOutcome,
            tokens: Int,
        ) {
            if (!finished.compareAndSet(false, true)) return
            if (outcome == TicketOutcome.COMPLETED && !isRetry(waiting.request)) budget.onSuccess()
            locked { it.finish(waiting, place, PlaceEnd(outcome, tokens), clock.monotonicMillis()) }
        }
    }

    private companion object {
        const val LONGEST_NAP_MILLIS = 1_000L
    }
}
