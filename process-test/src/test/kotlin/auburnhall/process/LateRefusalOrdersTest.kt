package auburnhall.process

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A real process in front of a worker that writes a refusal once more before the answer to the next order. */
class LateRefusalOrdersTest : ScriptedOrdersFixture() {
    private fun refusal(idField: String) =
        "HTTP/1.1 503 Full\r\n${idField}Not-Executed: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"

    /** Guards against an order that runs and is called not run, because of an earlier refusal (REFUSED). */
    @Test
    fun `an order that runs is not called not run by a late refusal, whole or cut off`() {
        awaitServing()
        worker.statusOf = { id -> if (id.startsWith("early")) "$REFUSED\r\nNot-Executed: 1" else SERVED }
        val ways =
            listOf<(String) -> String>(
                { "Attempt-Id: $it\r\n" },
                { "" },
                { "Attempt-Id: ${it.uppercase()}\r\n" },
            )
        for (way in ways.indices) {
            for (cut in 1..refusal(ways[way]("early-0-000")).length) {
                worker.before = { earlier, id ->
                    if (id.startsWith("order")) refusal(ways[way](earlier)).take(cut) else ""
                }
                assertEquals(REFUSED, order("early-$way-%03d".format(cut), TIME_LEFT))
                val id = "order-$way-%03d".format(cut)
                val status = order(id, TIME_LEFT)
                val promise = PROMISES.any(status::startsWith)
                assertTrue(!promise || id !in worker.executed, "$id: $status")
            }
        }
        assertTrue(worker.executed.count { it.startsWith("order") } > MIN_RUNS)
    }

    private companion object {
        const val TIME_LEFT = "Time-Remaining: 1000\r\n"
        const val MIN_RUNS = 100
        const val REFUSED = "503 Service Unavailable"
        val PROMISES = listOf("503", "429", "421", "408")
    }
}
