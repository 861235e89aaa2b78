/*
 * Faults of the key-value service, set by a test, and the counts of calls.
 */
package auburnhall.standin.platform

import auburnhall.core.Clock
import auburnhall.core.Deadline
import auburnhall.core.deadlineIn
import io.grpc.Status
import io.grpc.StatusRuntimeException
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.TreeMap

/**
 * Body of `POST /faults`. It replaces the faults set before; an empty one ends them all.
 *
 * @property unavailableMillis all calls fail and watches break until this time has passed.
 * @property refuseMillis all calls are answered `RESOURCE_EXHAUSTED` until this time has passed.
 * @property delayMillis each call is carried out after this time.
 * @property answerDelayMillis each call is carried out at once and answered after this time.
 * @property delayForMillis time for which the delays hold; 0 until they are replaced.
 * @property dropAnswers number of writes to come that are carried out and not answered.
 * @property breakWatches ends every watch once.
 * @property compact forgets the history of changes once, so that a watch from an old revision is refused.
 */
@Serializable
data class FaultOrder(
    @SerialName("unavailable_ms") val unavailableMillis: Long = 0,
    @SerialName("refuse_ms") val refuseMillis: Long = 0,
    @SerialName("delay_ms") val delayMillis: Long = 0,
    @SerialName("answer_delay_ms") val answerDelayMillis: Long = 0,
    @SerialName("delay_for_ms") val delayForMillis: Long = 0,
    @SerialName("drop_answers") val dropAnswers: Int = 0,
    @SerialName("break_watches") val breakWatches: Boolean = false,
    @SerialName("compact") val compact: Boolean = false,
)

/** Body of `GET /counts`: calls since the start by operation, those refused or failed, and watches now waiting. */
@Serializable
data class CallCounts(
    val calls: Map<String, Long>,
    val failed: Long,
    val watches: Int,
)

/** Lets each call pass, waits or fails it. Safe for use by many threads. */
class FaultGate(
    private val clock: Clock,
    callsPerSecond: Int,
) {
    private val lock = Any()
    private val counts = TreeMap<String, Long>()
    private var failed = 0L
    private var order = FaultOrder()
    private var unavailableUntil = Deadline.PASSED
    private var refuseUntil = Deadline.PASSED
    private var delayUntil = Deadline.PASSED
    private var answersToDrop = 0
    private val rate = RateLimit(clock, callsPerSecond)

    /** Replaces the faults in force by [next]. */
    fun set(next: FaultOrder) =
        synchronized(lock) {
            order = next
            unavailableUntil = clock.deadlineIn(next.unavailableMillis)
            refuseUntil = clock.deadlineIn(next.refuseMillis)
            delayUntil = if (next.delayForMillis > 0) clock.deadlineIn(next.delayForMillis) else FOREVER
            answersToDrop = next.dropAnswers
        }

    /** Counts a call of [operation] and waits if calls are delayed. Throws [StatusRuntimeException] if it must fail. */
    fun enter(operation: String) {
        val delay =
            synchronized(lock) {
                counts.merge(operation, 1, Long::plus)
                failure()?.let {
                    failed += 1
                    throw it.asRuntimeException()
                }
                delay(order.delayMillis)
            }
        pause(delay)
    }

    /** To be called after a call was carried out; tells whether it may be answered, and waits if answers are slow. */
    fun leave(isWrite: Boolean): Boolean {
        val (answered, delay) =
            synchronized(lock) {
                val drop = isWrite && answersToDrop > 0
                if (drop) answersToDrop -= 1
                !drop to delay(order.answerDelayMillis)
            }
        pause(delay)
        return answered
    }

    /** The counts so far, with [watches] as the number of watches that wait. */
    fun counts(watches: Int): CallCounts = synchronized(lock) { CallCounts(TreeMap(counts), failed, watches) }

    private fun failure(): Status? {
        val now = clock.monotonicMillis()
        return when {
            !unavailableUntil.hasPassed(now) -> Status.UNAVAILABLE.withDescription("outage set by the test")
            !refuseUntil.hasPassed(now) -> Status.RESOURCE_EXHAUSTED.withDescription("refusal set by the test")
            !rate.tryTake() -> Status.RESOURCE_EXHAUSTED.withDescription("too many calls")
            else -> null
        }
    }

    private fun delay(millis: Long) = if (delayUntil.hasPassed(clock.monotonicMillis())) 0 else millis

    private fun pause(millis: Long) {
        if (millis > 0) Thread.sleep(millis)
    }

    private companion object {
        val FOREVER = Deadline(Long.MAX_VALUE)
    }
}
