package auburnhall.routing

import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class WorkerLimitsTest {
    private val time = FakeScheduler()
    private val limits = WorkerLimits(time, { 0.5 }) { 0.0 }
    private val limited = target("a")
    private val worker = TargetTable.keyOf(limited.worker)

    private fun sendAll(durationMs: Long): Int {
        var sent = 0
        repeat(durationMs.toInt()) {
            if (limits.waitMs(limited) == 0L) {
                limits.onSent(limited)
                sent++
            }
            time.advance(1)
        }
        return sent
    }

    @Test
    fun `a process sends its share of a limit`() {
        assertEquals(0, limits.waitMs(limited))
        limits.onResponse(limited, 4.0)
        assertTrue(sendAll(10_000) in 15..17)
        assertEquals(0, limits.waitMs(target("b")))
    }

    @Test
    fun `turns that were not used for long are lost`() {
        limits.onResponse(limited, 4.0)
        time.advance(20_000)
        assertTrue(sendAll(10) <= 4)
    }

    @Test
    fun `a limit ends when a response names none, and is not restored by an older report`() {
        limits.onResponse(limited, 0.1)
        val named = limits.named.single()
        limits.onSent(limited)
        assertTrue(limits.waitMs(limited) > 1_000)
        time.advance(100)
        limits.onResponse(limited, null)
        limits.onReported(named)
        assertEquals(0, limits.waitMs(limited))
        assertEquals(0, limits.count)
    }

    @Test
    fun `the first statement, another limit and the end are passed on, the same limit again is not`() {
        val passedOn = ArrayList<Double?>()
        limits.onChange = { passedOn.add(it.perSecond) }
        for (perSecond in listOf(null, 2.0, 2.0, 3.0, null, null, 2.0)) {
            time.advance(1)
            limits.onResponse(limited, perSecond)
        }
        assertEquals(listOf(2.0, 3.0, null, 2.0), passedOn)
    }

    @Test
    fun `a limit that another process reports is kept to, and forgotten when it is not named again`() {
        limits.onReported(NamedLimit(worker, 0.1, time.nowMs()))
        limits.onSent(limited)
        assertTrue(limits.waitMs(limited) > 1_000)
        time.advance(WorkerLimits.VALID_MS)
        limits.expire()
        assertEquals(0, limits.waitMs(limited))
    }

    @Test
    fun `the number of limits is bounded`() {
        repeat(WorkerLimits.MAX_WORKERS + 9) {
            limits.onReported(NamedLimit(TargetKey("w$it"), 1.0, time.nowMs()))
            time.advance(1)
        }
        assertEquals(WorkerLimits.MAX_WORKERS, limits.count)
    }
}
