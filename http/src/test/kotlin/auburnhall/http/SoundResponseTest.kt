package auburnhall.http

import io.netty.handler.codec.http.HttpMethod
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Unusual but sound responses are passed on whole. */
class SoundResponseTest {
    private val worker = WorkerCalls(TIMEOUT_MS)

    @AfterEach
    fun close() = worker.close()

    /** Guards against a check for second copies that fails a sound response. */
    @Test
    fun `a body that echoes its request is not taken for a second response`() {
        val echo = { id: String -> "POST /$id HTTP/1.1\r\nHost: a\r\nAttempt-Id: $id\r\n\r\n" }
        worker.serve { id, _, socket ->
            socket.say("HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: ${echo(id).length}\r\n\r\n${echo(id)}")
        }
        assertEquals(Outcome(OK, echo("n1")), worker.call("n1"))
    }

    @Test
    fun `a response to HEAD without a length is complete`() {
        worker.serve { id, _, socket -> socket.say("HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\n\r\n") }
        assertEquals(Outcome(OK, ""), worker.call("h1", HttpMethod.HEAD))
    }

    private companion object {
        const val OK = 200
        const val TIMEOUT_MS = 3_000
    }
}
