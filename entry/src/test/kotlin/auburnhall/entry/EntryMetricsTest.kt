package auburnhall.entry

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EntryMetricsTest {
    /** Guards against requests of a process that has just started and that no metric counts. */
    @Test
    fun `what is recorded before the library is loaded is counted`() {
        val metrics = EntryMetrics()
        metrics.gauge("auburnhall_sample", "A sample.") { 3 }
        metrics.onRequestEnded("idempotent", "served", 20)
        metrics.prepare()
        metrics.onRequestEnded("idempotent", "served", 20)
        val text = String(metrics.scrape())
        assertTrue("""auburnhall_answers_total{kind="idempotent",outcome="served"} 2.0""" in text, text)
        assertTrue("auburnhall_sample 3.0" in text, text)
    }
}
