/*
 * Segments of a shard that fill up, are taken over, and expire.
 */
package auburnhall.ledger

import auburnhall.core.RequestId
import auburnhall.store.ReadResult
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class SegmentsTest {
    private val world = LedgerWorld(processes = 2, Random(SEED))
    private val shard = 0
    private val requests =
        (0..Int.MAX_VALUE)
            .asSequence()
            .map { IntentRequest(LedgerWorld.CUSTOMER, "key-$it", "body", RequestId("r$it")) }
            .filter { shardOf(it.key) == shard }
            .take(ORDERS)
            .toList()
    private val first =
        world.process(
            world
                .membershipOf(LedgerWorld.member("p0"))
                .view()
                .ranked(rankingKey(shard))
                .first()
                .process,
        )
    private val second = world.processes.first { it != first }

    @Test
    fun `a shard of many segments is taken over whole and its segments are deleted once their answers expire`() {
        requests.forEach { carryOut(it) }
        assertTrue(segments() > 2, "only ${segments()} segments")
        world.suspect(first)
        requests.forEach { assertEquals(ReserveReply.Done(it.requestId, answerTo(it)), reserve(second, it)) }
        world.clock.advance(LedgerTimes.KEEP_DONE_MILLIS)
        world.advance(CLEAN_UPS * LedgerTimes.CLEAN_UP_MILLIS)
        assertEquals(1, segments())
    }

    @Test
    fun `a call of unknown outcome still blocks its key when the answers around it have expired`() {
        val open = requests.first()
        reserve(first, open)
        requests.drop(1).forEach { carryOut(it) }
        world.clock.advance(LedgerTimes.KEEP_DONE_MILLIS)
        world.advance(CLEAN_UPS * LedgerTimes.CLEAN_UP_MILLIS)
        assertTrue(segments() <= 2, "${segments()} segments are left")
        world.suspect(first)
        val retry = open.copy(requestId = RequestId("retry"))
        assertEquals(ReserveReply.InProgress(open.requestId), reserve(second, retry))
        world.advance(LedgerTimes.IN_PROGRESS_MILLIS)
        assertEquals(ReserveReply.MayHaveRun(open.requestId), reserve(second, retry))
    }

    private fun carryOut(request: IntentRequest) {
        assertEquals(granted(), reserve(first, request))
        var reply: CompleteReply? = null
        first.owner.complete(request, IntentOutcome.Done(answerTo(request))) { reply = it }
        world.advance(PATIENCE_MILLIS) { reply != null }
        assertEquals(CompleteReply.Recorded, reply)
    }

    private fun reserve(
        process: LedgerProcess,
        request: IntentRequest,
    ): ReserveReply? {
        var reply: ReserveReply? = null
        process.owner.reserve(request, process.id) { reply = it }
        world.advance(PATIENCE_MILLIS) { reply != null }
        return reply
    }

    private fun answerTo(request: IntentRequest) =
        RecordedAnswer(OK, "text/plain", request.idempotencyKey.repeat(REPEATS).encodeToByteArray())

    private fun segments(): Int {
        val result = world.store.client().list(SegmentKeys.prefix(shard))
        return (result as ReadResult.Success).entries.size
    }

    private companion object {
        const val SEED = 5
        const val ORDERS = 40
        const val REPEATS = 400
        const val OK = 200
        const val PATIENCE_MILLIS = 2_000L
        const val CLEAN_UPS = 12L
    }
}
