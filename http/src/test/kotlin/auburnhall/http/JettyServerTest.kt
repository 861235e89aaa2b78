package auburnhall.http

import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class JettyServerTest {
    @Test
    fun `a method that HTTP does not know is refused and the server goes on`() =
        HttpServer(ServerSettings("127.0.0.1", 0)) { Response(Status.OK) }.use { server ->
            HttpCaller().use { caller ->
                assertEquals(METHOD_NOT_ALLOWED, caller.status("BREW", server.port))
                assertEquals(OK, caller.status("GET", server.port))
            }
        }

    private fun HttpCaller.status(
        method: String,
        port: Int,
    ) = (call(HttpCall(method, "http://127.0.0.1:$port/", TIMEOUT_MILLIS)) as HttpOutcome.Answer).status

    private companion object {
        const val OK = 200
        const val METHOD_NOT_ALLOWED = 405
        const val TIMEOUT_MILLIS = 20_000L
    }
}
