/*
 * What the target and the callers really saw, and the properties that must hold of it.
 */
package auburnhall.ledger

import auburnhall.core.RequestId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** What a caller was told in the end. */
internal sealed interface Told {
    data object NotRun : Told

    /** The key belongs to another body; the request was not run. */
    data object KeyReused : Told

    data class Answered(
        val first: RequestId,
        val answer: RecordedAnswer,
    ) : Told

    data class MayHaveRun(
        val first: RequestId,
    ) : Told

    data class InProgress(
        val first: RequestId,
    ) : Told

    /** The process was killed before it told anything. */
    data object Nothing : Told
}

internal class History {
    private data class Run(
        val request: IntentRequest,
        val at: Long,
        val answer: RecordedAnswer,
    )

    private data class Telling(
        val request: IntentRequest,
        val told: Told,
        val at: Long,
    )

    private val askedAt = HashMap<RequestId, Long>()
    private val runs = ArrayList<Run>()
    private val tellings = ArrayList<Telling>()

    val runCount: Int get() = runs.size
    val lastTold: Told get() = tellings.last().told

    fun runsOf(key: String): Int = runs.count { it.request.idempotencyKey == key }

    fun asked(
        request: IntentRequest,
        at: Long,
    ) {
        askedAt[request.requestId] = at
    }

    /** The target receives [request] and answers. */
    fun run(
        request: IntentRequest,
        at: Long,
    ): RecordedAnswer {
        val answer = RecordedAnswer(OK, "text/plain", "done for ${request.requestId}".encodeToByteArray())
        runs += Run(request, at, answer)
        return answer
    }

    fun told(
        request: IntentRequest,
        told: Told,
        at: Long,
    ) {
        tellings += Telling(request, told, at)
    }

    /** Fails with [context] when a property does not hold. */
    fun check(context: String) {
        runs.groupBy { it.request.key }.forEach { (key, of) ->
            assertEquals(1, of.size, "$context: $key ran ${of.size} times: ${of.map { it.request.requestId to it.at }}")
        }
        runs.forEach { checkWindow(it, context) }
        tellings.forEach { checkTelling(it, context) }
    }

    private fun checkWindow(
        run: Run,
        context: String,
    ) {
        val asked = askedAt.getValue(run.request.requestId)
        assertTrue(
            run.at - asked < LedgerTimes.DISPATCH_WINDOW_MILLIS,
            "$context: ${run.request.requestId} was dispatched ${run.at - asked} ms after it asked",
        )
    }

    private fun checkTelling(
        telling: Telling,
        context: String,
    ) {
        when (val told = telling.told) {
            Told.NotRun, Told.KeyReused ->
                assertTrue(runOf(telling.request.requestId) == null, "$context: ${telling.request} ran")
            is Told.Answered -> assertEquals(runOf(told.first)?.answer, told.answer, "$context: another answer")
            is Told.MayHaveRun -> {
                val run = runOf(told.first)
                assertTrue(run == null || run.at <= telling.at, "$context: ${told.first} ran after it may have run")
            }
            is Told.InProgress, Told.Nothing -> Unit
        }
    }

    private fun runOf(request: RequestId): Run? = runs.firstOrNull { it.request.requestId == request }

    private companion object {
        const val OK = 200
    }
}
