/*
 * An entry process on virtual time: the queue, router and lending that ship, around requests that need no threads.
 */
package auburnhall.bench.load

import auburnhall.core.Deadline
import auburnhall.core.FleetView
import auburnhall.core.ReplicaId
import auburnhall.core.RequestId
import auburnhall.limits.AdmissionInputs
import auburnhall.limits.AdmissionQueue
import auburnhall.limits.AdmissionRequest
import auburnhall.limits.AdmissionSettings
import auburnhall.limits.PlaceEnd
import auburnhall.limits.QueueAccess
import auburnhall.limits.TicketOutcome
import auburnhall.limits.Verdict
import auburnhall.limits.WaitingRequest
import auburnhall.routing.Router

/** Decides whether a request that a replica dropped is tried again. */
fun interface RetryRule {
    /** Returns the delay before the next attempt in milliseconds; null when there is none. [attempts] were made. */
    fun delayMillis(attempts: Int): Double?
}

/** What an [EntryProcess] takes part in. */
class Surroundings(
    val time: VirtualTime,
    val cluster: Cluster,
    val tally: Tally,
    val processes: Int,
)

/** One entry process. */
class EntryProcess(
    private val around: Surroundings,
    router: Router,
    settings: AdmissionSettings,
    private val retries: RetryRule,
    private val onSuccess: () -> Unit = {},
) : QueueAccess,
    AdmissionInputs {
    private val time = around.time
    private val queue = AdmissionQueue(settings, router, this)

    /** Called when a request waits for a share of its customer's limits. */
    var onShort: () -> Unit = {}

    /** Requests that wait here for a place, not for a share. */
    val waitingForPlaces: Int get() = if (queue.isShort) 0 else queue.waiting

    override fun fleet(): FleetView = around.cluster.view

    override fun activeProcesses(): Int = around.processes

    override fun <T> locked(block: (AdmissionQueue) -> T): T {
        val result = block(queue)
        queue.dispatch(time.monotonicMillis())
        return result
    }

    /** A caller's request arrives. */
    fun arrive(arrival: Arrival) = Request(arrival).admit()

    /** A request on its way through this process. */
    private inner class Request(
        private val arrival: Arrival,
    ) {
        private val plan = arrival.team.plan
        private val arrivedAt = time.monotonicMillis()
        private val firstTokenBy = arrivedAt + plan.firstTokenMillis
        private val answerBy = arrivedAt + plan.answerMillis
        private val failedAt = HashSet<ReplicaId>()
        private var done = 0
        private var attempts = 0
        private var firstTokenAt = 0L
        private var isOver = false

        fun admit() {
            if (isOver) return
            val waiting = queue.offer(admissionRequest(), time.monotonicMillis())
            if (waiting.verdict != null) {
                decided(waiting)
                return
            }
            waiting.onDecided = { time.after(0.0) { decided(waiting) } }
            locked { }
            listOf(waiting.shareBy, waiting.latestStart).forEach { t ->
                time.at(t + 1) { if (waiting.verdict == null) locked { } }
            }
            if (queue.isShort) onShort()
        }

        private fun admissionRequest() =
            AdmissionRequest(
                RequestId(""),
                arrival.team.id,
                plan,
                FakeEngine.MODEL,
                arrival.prompt.prefixes,
                MAX_TOKENS,
                Deadline(firstTokenBy),
                Deadline(answerBy),
                failedAt.toSet(),
                attempts > 0,
            )

        private fun decided(waiting: WaitingRequest) =
            when (val v = checkNotNull(waiting.verdict)) {
                is Verdict.Place -> {
                    send(waiting, v)
                }

                is Verdict.Refused -> {
                    around.tally.refusals.merge(v.reason.code, 1, Int::plus)
                    end(if (attempts > 0) Ending.FAILED else Ending.REFUSED)
                }
            }

        private fun send(
            waiting: WaitingRequest,
            place: Verdict.Place,
        ) {
            attempts += 1
            around.tally.attempts += 1
            val engine = around.cluster.engine(place.replica.replica.id)
            val job =
                EngineJob(
                    tokens = arrival.tokens - done,
                    prompt = arrival.prompt,
                    onFirstToken = { firstToken(waiting, place) },
                    onEnd = { answered(waiting, place) },
                    onFailure = { tokens -> failed(waiting, place, tokens) },
                )
            engine.submit(job)
            time.at(answerBy) { if (!job.isOver) cancel(engine, job, waiting, place) }
        }

        private fun firstToken(
            waiting: WaitingRequest,
            place: Verdict.Place,
        ) {
            queue.onFirstToken(waiting, place, time.monotonicMillis())
            if (firstTokenAt != 0L) return
            firstTokenAt = time.monotonicMillis()
            around.tally.onFirstToken(firstTokenAt - arrivedAt)
        }

        private fun answered(
            waiting: WaitingRequest,
            place: Verdict.Place,
        ) {
            val now = time.monotonicMillis()
            if (firstTokenAt == 0L) firstTokenAt = now
            around.tally.onAnswer(now - arrivedAt)
            if (attempts == 1) onSuccess()
            val inTime = firstTokenAt <= firstTokenBy && now <= answerBy
            if (inTime) around.tally.goodTokens += arrival.tokens
            end(if (inTime) Ending.GOOD else Ending.LATE)
            release(waiting, place, TicketOutcome.COMPLETED, arrival.tokens - done)
        }

        private fun cancel(
            engine: FakeEngine,
            job: EngineJob,
            waiting: WaitingRequest,
            place: Verdict.Place,
        ) {
            engine.cancel(job)
            end(Ending.LATE)
            release(waiting, place, TicketOutcome.CANCELLED, 0)
        }

        private fun failed(
            waiting: WaitingRequest,
            place: Verdict.Place,
            tokens: Int,
        ) {
            done += tokens
            failedAt += place.replica.replica.id
            release(waiting, place, TicketOutcome.REPLICA_FAILED, tokens)
            val delay = retries.delayMillis(attempts)
            if (delay == null) end(Ending.FAILED) else time.after(delay) { admit() }
        }

        private fun release(
            waiting: WaitingRequest,
            place: Verdict.Place,
            outcome: TicketOutcome,
            tokens: Int,
        ) = locked { it.finish(waiting, place, PlaceEnd(outcome, tokens), time.monotonicMillis()) }

        private fun end(ending: Ending) {
            if (isOver) return
            isOver = true
            around.tally.onEnding(arrival.team.id, ending)
        }
    }

    private companion object {
        const val MAX_TOKENS = 2_400
    }
}
