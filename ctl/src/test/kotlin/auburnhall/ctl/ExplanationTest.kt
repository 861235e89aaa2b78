package auburnhall.ctl

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ExplanationTest {
    private val log =
        listOf(
            " 1.0 edge " + line(1, "p1", "replica.suspected", "request" to "r1", "target" to "m/1@1"),
            line(2, "p2", "replica.breaking", "replica" to "m/1@1", "cause" to "member i-3 lost"),
            line(3, "p1", "request.retried", "request" to "r1", "reason" to "silent"),
            ended(4, "r1", "served", listOf("targets" to "m/1@1,m/2@2", "took_ms" to "2400")),
            ended(5, "r2", "refused", listOf("reason" to "targets full", "targets" to "", "took_ms" to "900")),
            ended(
                6,
                "r3",
                "broken_off",
                listOf("cause" to "Connection reset", "targets" to "i-9@1", "took_ms" to "40"),
            ),
            line(7, "p2", "part.quarantined", "part" to "dead", "source" to "own"),
            ended(
                8,
                "r4",
                "refused",
                listOf(
                    "reason" to "prompt part is quarantined",
                    "part" to "dead",
                    "crashes" to "5",
                    "age_ms" to "900",
                    "took_ms" to "0",
                ),
            ),
            "not a log line",
        ).mapNotNull { LogLine.parse(it) }

    private fun ended(
        second: Int,
        request: String,
        outcome: String,
        fields: List<Pair<String, String>>,
    ) = json(second, "p1", "request.ended", listOf("request" to request, "outcome" to outcome) + fields)

    private fun line(
        second: Int,
        process: String,
        event: String,
        vararg fields: Pair<String, String>,
    ) = json(second, process, event, fields.asList())

    private fun json(
        second: Int,
        process: String,
        event: String,
        fields: List<Pair<String, String>>,
    ): String {
        val allFields = listOf("at" to "2026-01-01T00:00:0${second}Z", "process" to process, "event" to event) + fields
        return allFields.joinToString(",", "{", "}") { (name, value) -> "\"$name\":\"$value\"" }
    }

    @Test
    fun `a delayed response is explained by the lost member`() {
        val explanation = Explanation("r1", log)
        assertEquals("served after 2400 ms, sent again because: silent", explanation.cause())
        assertTrue(explanation.text().any { it.contains("member i-3 lost") })
    }

    @Test
    fun `a refusal states that the request was not run and why`() {
        assertEquals("refused after 900 ms, not run: targets full", Explanation("r2", log).cause())
    }

    @Test
    fun `a refusal because of a prompt part tells the evidence and who found it`() {
        val explanation = Explanation("r4", log)
        val expected = "prompt part is quarantined: dead crashed 5 targets, the first 900 ms before"
        assertEquals("refused after 0 ms, not run: $expected", explanation.cause())
        assertTrue(explanation.text().any { it.contains("p2 part.quarantined") })
    }

    @Test
    fun `a response that broke off names the cause`() {
        assertEquals("broken off after 40 ms: Connection reset", Explanation("r3", log).cause())
    }

    @Test
    fun `a request without log lines is reported as not found`() {
        assertFalse(Explanation("r9", log).found)
    }
}
