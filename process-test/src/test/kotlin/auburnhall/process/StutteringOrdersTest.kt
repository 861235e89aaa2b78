package auburnhall.process

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A real process in front of a worker that begins each response a second time. */
class StutteringOrdersTest : ScriptedOrdersFixture() {
    /** Guards against a success that a caller gets where the worker answered with a failure. */
    @Test
    fun `callers get the status that the worker gave, though it begins each response again`() {
        awaitServing()
        worker.surplus = "HTTP/1.1 200 OK\r\nContent-Type: text/pl"
        worker.statusOf = { id -> if (id.startsWith("failing")) FAILED else SERVED }
        repeat(ORDERS) {
            assertEquals(SERVED, order("sound-$it"))
            assertEquals(FAILED, order("failing-$it"))
        }
        assertTrue(worker.executed.size > 2 * ORDERS)
    }

    private companion object {
        const val ORDERS = 20
        const val FAILED = "500 Internal Server Error"
    }
}
