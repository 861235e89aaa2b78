package auburnhall.gateway

import org.http4k.core.MemoryBody
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.io.InputStream
import java.util.concurrent.TimeoutException

class BadInputTest {
    private val messages = """"messages":[{"role":"user","content":"x"}]"""

    @Test
    fun `a body that is not valid is refused and names the field`() {
        val cases =
            mapOf(
                "" to null,
                "{" to null,
                "[]" to null,
                "[".repeat(20_000) to null,
                """{"model":"m"}""" to "messages",
                """{$messages}""" to "model",
                """{"model":7,$messages}""" to "model",
                """{"model":"${"m".repeat(201)}",$messages}""" to "model",
                """{"model":"m","messages":{}}""" to "messages",
                """{"model":"m","messages":"x"}""" to "messages",
                """{"model":"m","messages":[]}""" to "messages",
                """{"model":"m","messages":[1]}""" to "messages",
                """{"model":"m","messages":[{"role":1}]}""" to "messages",
                """{"model":"m","messages":[{"role":"user","content":5}]}""" to "messages",
                """{"model":"m",$messages,"stream":"yes"}""" to "stream",
                """{"model":"m",$messages,"stream_options":1}""" to "stream_options",
                """{"model":"m",$messages,"max_tokens":0}""" to "max_tokens",
                """{"model":"m",$messages,"max_tokens":"5"}""" to "max_tokens",
                """{"model":"m",$messages,"n":2}""" to "n",
                """{"model":"m",$messages,"tools":[{}]}""" to "tools",
            )
        for ((body, param) in cases) {
            val bench = Bench(Take.Fail)
            val response = bench.gateway(chatRequest(body))
            refused(bench, response, 400, body.take(80))
            val text = response.bodyString()
            assertTrue(text.contains("\"param\":${param?.let { "\"$it\"" }}"), "$body -> $text")
        }
    }

    @Test
    fun `brackets inside texts are no nesting`() {
        val bench = Bench(Take.Stream { listOf(Act.Say("x"), Act.End) })
        val text = "[{".repeat(500) + "\\\\ \\\" ]"
        val body = """{"model":"m","messages":[{"role":"user","content":"$text"}]}"""
        assertEquals(200, bench.gateway(chatRequest(body)).status.code)
    }

    @Test
    fun `text that is not UTF-8 is refused`() {
        val bench = Bench(Take.Fail)
        val request = chatRequest("").body(MemoryBody(byteArrayOf(0x7b, 0x22, 0xff.toByte(), 0x22, 0x7d)))
        refused(bench, bench.gateway(request), 400, "invalid UTF-8")
    }

    @Test
    fun `unknown models, services, paths and keys are refused`() {
        val auth = "Bearer $KEY"
        val cases =
            listOf(
                chatRequest("""{"model":"none",$messages}""") to 404,
                chatRequest("""{"model":"other",$messages}""") to 403,
                Request(Method.GET, "/services/none/x").header("Authorization", auth) to 404,
                Request(Method.GET, "/services/closed/x").header("Authorization", auth) to 403,
                Request(Method.GET, "/services/orders/%zz").header("Authorization", auth) to 400,
                Request(Method.GET, "/v2").header("Authorization", auth) to 404,
                Request(Method.GET, "/v1/models") to 401,
                Request(Method.GET, "/v1/models").header("Authorization", "Basic x") to 401,
                Request(Method.GET, "/v1/models").header("Authorization", "Bearer wrong") to 401,
                Request(Method.GET, "/v1/models").header("X", "y".repeat(20_000)) to 431,
            )
        for ((request, status) in cases) {
            val bench = Bench(Take.Fail)
            refused(bench, bench.gateway(request), status, "${request.uri}")
        }
    }

    @Test
    fun `a refused key is challenged, as clients expect of status 401`() {
        val response = Bench(Take.Fail).gateway(Request(Method.GET, "/v1/models"))
        assertEquals("Bearer", response.header("WWW-Authenticate"))
    }

    @Test
    fun `a body that is too large is refused, announced or not`() {
        val bench = Bench(Take.Fail)
        refused(bench, bench.gateway(chatRequest("").header("Content-Length", "5000000")), 413, "announced")
        val endless = Bench(Take.Fail)
        refused(endless, endless.gateway(withBody { 1 }), 413, "endless")
    }

    @Test
    fun `slow and vanishing callers are refused`() {
        val trickle = Bench(Take.Fail)
        val slow =
            withBody {
                trickle.clock.advance(2_000)
                1
            }
        refused(trickle, trickle.gateway(slow), 408, "one read every 2 s")
        val idle = Bench(Take.Fail)
        refused(idle, idle.gateway(withBody { throw IOException(TimeoutException("idle")) }), 408, "idle")
        val gone = Bench(Take.Fail)
        refused(gone, gone.gateway(withBody { throw IOException("reset") }), 499, "gone")
    }

    @Test
    fun `only the models of the plan are listed`() {
        val bench = Bench(Take.Fail)
        val response = bench.gateway(Request(Method.GET, "/v1/models").header("Authorization", "Bearer $KEY"))
        val names = Regex("\"id\":\"([^\"]+)\"").findAll(response.bodyString()).map { it.groupValues[1] }
        assertEquals(listOf("m"), names.toList())
    }

    private fun withBody(read: () -> Int): Request =
        chatRequest("").body(
            object : InputStream() {
                override fun read() = 'x'.code

                override fun read(
                    b: ByteArray,
                    off: Int,
                    len: Int,
                ): Int = if (read() > 0) len else -1
            },
        )

    private fun refused(
        bench: Bench,
        response: Response,
        status: Int,
        what: String,
    ) {
        val body = response.bodyString()
        assertEquals(status, response.status.code, "$what: $body")
        listOf("\"run_state\":\"not_run\"", "\"request_id\":\"req_", "\"reason\":\"").forEach {
            assertTrue(body.contains(it), "$what: $body")
        }
        assertTrue(bench.engines.calls.isEmpty() && bench.services.calls.isEmpty(), what)
        assertTrue(bench.admission.tickets.isEmpty() && bench.ledger.reserved.isEmpty(), what)
        assertEquals(0, bench.inProgress.count, what)
        assertEquals(
            bench.listener.ended
                .single()
                .requestId,
            bench.explanations.records
                .single()
                .requestId,
            what,
        )
    }
}
