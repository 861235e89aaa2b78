package auburnhall.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DeadlineTest {
    @Test
    fun `nothing remains of a deadline that has always passed`() {
        assertEquals(0, Deadline.PASSED.remainingMillis(1))
    }

    @Test
    fun `what remains is counted from now`() {
        assertEquals(40, Deadline(100).remainingMillis(60))
        assertEquals(0, Deadline(100).remainingMillis(100))
    }
}
