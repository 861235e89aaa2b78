package auburnhall.ctl

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ExplanationTest {
    private val log =
        listOf(
            """ 1.0 edge {"at":"2026-01-01T00:00:01Z","process":"p1","event":"replica.suspected","request":"r1","target":"m/1@1"}""",
            """{"at":"2026-01-01T00:00:02Z","process":"p2","event":"replica.breaking","replica":"m/1@1","cause":"member i-3 lost"}""",
            """{"at":"2026-01-01T00:00:03Z","process":"p1","event":"request.retried","request":"r1","reason":"silent"}""",
            """{"at":"2026-01-01T00:00:04Z","process":"p1","event":"request.ended","request":"r1","outcome":"served",""" +
                """"targets":"m/1@1,m/2@2","took_ms":2400}""",
            """{"at":"2026-01-01T00:00:05Z","process":"p1","event":"request.ended","request":"r2","outcome":"refused",""" +
                """"reason":"targets full","targets":"","took_ms":900}""",
            """{"at":"2026-01-01T00:00:06Z","process":"p1","event":"request.ended","request":"r3","outcome":"broken_off",""" +
                """"cause":"Connection reset","targets":"i-9@1","took_ms":40}""",
            "no line of ours",
        ).mapNotNull { LogLine.parse(it) }

    @Test
    fun `a late answer is traced to the member that was lost`() {
        val explanation = Explanation("r1", log)
        assertEquals("served after 2400 ms, sent again because: silent", explanation.cause())
        assertTrue(explanation.text().any { it.contains("member i-3 lost") })
    }

    @Test
    fun `a refusal says that the request was not run and why`() {
        assertEquals("refused after 900 ms, not run: targets full", Explanation("r2", log).cause())
    }

    @Test
    fun `an answer that broke off names the cause`() {
        assertEquals("broken off after 40 ms: Connection reset", Explanation("r3", log).cause())
    }

    @Test
    fun `an unknown request is said to be unknown`() {
        assertFalse(Explanation("r9", log).found)
    }
}
