package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Workers whose responses have a status that HTTP does not have. */
class InvalidStatusTest : GatewayFixture() {
    /** Guards against passing on such a response, and against holding the caller until its deadline (MIXED). */
    @ParameterizedTest
    @ValueSource(strings = ["000", "099", "600", "999", "1000", "20"])
    fun `a response with an invalid status is a failure of the worker`(status: String) {
        serve(worker(Script.Send(full("hello", status = "$status Odd"))))
        val response = call("/unsafe/x", "left: 3000\r\n", method = "POST")
        assertEquals("HTTP/1.1 502 Bad Gateway", response.lineSequence().first().trim())
        assertEquals("", response.substringAfter("\r\n\r\n"))
        val failed = events.events.single { it.name == "attempt.failed" }
        assertEquals(
            true,
            failed.details
                .toMap()["cause"]
                .toString()
                .contains("status"),
        )
    }

    @ParameterizedTest
    @ValueSource(strings = ["000", "600"])
    fun `a stream whose first worker responds with an invalid status is served by another one`(status: String) {
        val odd = Script.Chosen { Script.Send(stream(1).replace("200 OK", "$status Odd") + lastChunk) }
        serve(worker(odd, Script.Send(stream(1) + lastChunk)), worker(Script.Send(stream(1) + lastChunk)))
        repeat(2) { assertEquals(listOf(1), eventIds(call("/stream/x", "left: 3000\r\n"))) }
    }
}
