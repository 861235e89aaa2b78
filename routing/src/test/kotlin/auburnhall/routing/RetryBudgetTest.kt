package auburnhall.routing

import auburnhall.test.FakeClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RetryBudgetTest {
    @Test
    fun `retries are bounded by what was saved, the floor and a tenth of the successes`() {
        val clock = FakeClock()
        val budget = RetryBudget(clock)
        assertEquals(20, tryAll(budget))
        clock.advance(1_000)
        assertEquals(2, tryAll(budget))
        repeat(55) { budget.onSuccess() }
        assertEquals(5, tryAll(budget))
    }

    private fun tryAll(budget: RetryBudget) = (1..1_000).count { budget.tryRetry() }
}
