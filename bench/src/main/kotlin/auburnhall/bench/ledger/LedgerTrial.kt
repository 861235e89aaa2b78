/*
 * Orders at a fixed rate through one process that owns all shards. Who owns a shard does not change its writes.
 */
package auburnhall.bench.ledger

import auburnhall.core.ControlLoop
import auburnhall.core.CustomerId
import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import auburnhall.core.ProcessId
import auburnhall.core.RequestId
import auburnhall.ledger.IntentOutcome
import auburnhall.ledger.IntentRequest
import auburnhall.ledger.LedgerContext
import auburnhall.ledger.LedgerListener
import auburnhall.ledger.LedgerOwner
import auburnhall.ledger.RecordedAnswer
import auburnhall.ledger.ReserveReply
import auburnhall.membership.Member
import auburnhall.membership.Membership
import auburnhall.membership.MembershipView
import auburnhall.test.FakeClock
import auburnhall.test.FakeControlLoop
import org.HdrHistogram.Histogram
import kotlin.random.Random

internal class LedgerTrial(
    seed: Int,
    private val answerBytes: Int,
) {
    private val random = Random(seed)
    private val clock = FakeClock()
    private val inner = FakeControlLoop(clock)
    private val self =
        Member(ProcessId("p1"), InstanceId("i1"), DataCentreId("dc1"), "127.0.0.1:1", "127.0.0.1:2")
    private val membership =
        object : Membership {
            override fun view() = MembershipView(self, listOf(self), emptySet())
        }
    private val context = LedgerContext(self.process, CountingStore(), SlowLoop(inner), clock, random, Records())
    private val owner = LedgerOwner(context, membership)

    val store: CountingStore get() = context.store as CountingStore
    val reserveMillis = Histogram(HISTOGRAM_DIGITS)
    var orders = 0
        private set
    var commits = 0L
        private set
    var records = 0L
        private set

    /** Sends orders at [perSecond] on random moments for [seconds]; each is carried out in [TARGET_MILLIS]. */
    fun run(
        perSecond: Int,
        seconds: Int,
    ) {
        repeat(seconds * MILLIS_PER_SECOND) {
            if (random.nextInt(MILLIS_PER_SECOND) < perSecond) order()
            inner.advance(1, 1)
        }
        inner.advance(SETTLE_MILLIS, 1)
    }

    private fun order() {
        orders += 1
        val key = "order-${random.nextLong().toULong()}"
        val request = IntentRequest(CustomerId("shop-17"), key, DIGEST, RequestId("req-${random.nextLong().toULong()}"))
        val sentAt = clock.monotonicMillis()
        owner.reserve(request, self.process) { reply ->
            check(reply is ReserveReply.Granted) { "not granted: $reply" }
            reserveMillis.recordValue(clock.monotonicMillis() - sentAt)
            inner.after(TARGET_MILLIS) { owner.complete(request, IntentOutcome.Done(answer())) {} }
        }
    }

    private fun answer() =
        RecordedAnswer(OK, "application/json", ByteArray(answerBytes) { ('a' + random.nextInt(LETTERS)).code.toByte() })

    private inner class Records : LedgerListener {
        override fun onCommit(
            shard: Int,
            records: Int,
            bytes: Int,
            millis: Long,
        ) {
            commits += 1
            this@LedgerTrial.records += records
        }
    }

    /** Calls to the store take [STORE_MILLIS]. */
    private class SlowLoop(
        private val inner: FakeControlLoop,
    ) : ControlLoop by inner {
        override fun <T> call(
            io: () -> T,
            onResult: (T) -> Unit,
        ) = inner.after(STORE_MILLIS) { onResult(io()) }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val STORE_MILLIS = 5L
        const val TARGET_MILLIS = 40L
        const val SETTLE_MILLIS = 1_000L
        const val HISTOGRAM_DIGITS = 3
        const val LETTERS = 26
        const val OK = 200
        const val DIGEST = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
    }
}
