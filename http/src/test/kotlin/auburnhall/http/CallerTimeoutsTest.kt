package auburnhall.http

import auburnhall.core.CallerLimits
import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CallerTimeoutsTest {
    private val time = FakeScheduler()
    private val limits = CallerLimits.DEFAULT
    private val timeouts = CallerTimeouts(limits, time)

    /** Time until a check finds that something has expired, if checks are made when [CallerTimeouts] asks for them. */
    private fun expiresAfterMs(requestTimeoutAtMs: () -> Long?): Pair<Long, ExpiredTimeout> {
        while (timeouts.expired(requestTimeoutAtMs()) == ExpiredTimeout.NONE) {
            time.advance(timeouts.nextCheckMs(requestTimeoutAtMs()))
        }
        return time.nowMs() to timeouts.expired(requestTimeoutAtMs())
    }

    @Test
    fun `an idle connection expires a second after its limit, and is checked a few times until then`() {
        var checks = 0
        val (atMs, expired) = expiresAfterMs { null.also { checks++ } }
        assertEquals(ExpiredTimeout.IDLE, expired)
        assertTrue(atMs in limits.idleTimeoutMs + 1_000..limits.idleTimeoutMs + 1_200, "$atMs ms")
        assertTrue(checks < 20, "$checks checks")
    }

    @Test
    fun `a request that begins between two checks expires at its limit`() {
        val begunAtMs = 1_700L
        val dueAtMs = begunAtMs + limits.headerTimeoutMs
        val (atMs, expired) = expiresAfterMs { dueAtMs.takeIf { time.nowMs() >= begunAtMs } }
        assertEquals(ExpiredTimeout.REQUEST, expired)
        assertTrue(atMs in dueAtMs + 1..dueAtMs + 200, "$atMs ms")
    }

    @Test
    fun `activity defers the idle timeout`() {
        time.advance(limits.idleTimeoutMs)
        timeouts.onActivity()
        time.advance(limits.idleTimeoutMs)
        assertEquals(ExpiredTimeout.NONE, timeouts.expired(null))
    }
}
