package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ChatHandlerTest {
    private val answer = Take.Stream { listOf(Act.Say("Hel"), Act.Say("lo"), Act.End) }

    @Test
    fun `an unstreamed answer is whole`() {
        val bench = Bench(answer)
        val response = bench.gateway(chatRequest(chatBody()))
        assertEquals(200, response.status.code)
        assertTrue(response.bodyString().contains("\"content\":\"Hello\""))
    }

    @Test
    fun `a streamed answer ends with the end mark`() {
        val bench = Bench(answer)
        val response = bench.gateway(chatRequest(chatBody(""","stream":true""")))
        val text = response.bodyString()
        assertTrue(text.endsWith("data: [DONE]\n\n"), text)
        assertTrue(text.contains("\"content\":\"lo\""), text)
    }
}
