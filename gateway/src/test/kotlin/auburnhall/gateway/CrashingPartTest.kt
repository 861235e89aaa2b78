package auburnhall.gateway

import auburnhall.core.Clock
import auburnhall.routing.PartCrash
import auburnhall.routing.PromptPart
import auburnhall.routing.QuarantinedPart
import auburnhall.routing.TargetKey
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture

class CrashingPartTest : GatewayFixture() {
    private val part = PromptPart("dead")

    private fun quarantine() {
        val now = Clock.SYSTEM.nowMs()
        loop
            .submit { verdicts.adopt(QuarantinedPart(part, 5, now - 2_000, now + 60_000), "p2") }
            .sync()
    }

    private fun suspect(target: String) {
        val crash = PartCrash(TargetKey(target), "r-before", "m")
        loop.submit { parts.onReportedCrash(listOf(part), crash) }.sync()
    }

    private fun crashingWorker() = worker(Script.Reset(stream(1)), Script.Reset(stream(1)))

    @Test
    fun `a request with a quarantined part is refused at once, with the evidence in the log`() {
        val target = worker(Script.Send(stream(1) + lastChunk))
        serve(target)
        quarantine()
        val response = call("/stream/x", "parts: 5c1e,dead\r\n")
        assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("again-in-ms:"), response)
        val ended =
            events.events
                .single { it.name == "request.ended" }
                .details
                .toMap()
        assertEquals(listOf("refused", part, 5), listOf(ended["outcome"], ended["part"], ended["crashes"]))
        assertTrue(ended["age_ms"] as Long in 2_000L..20_000L)
        assertEquals(0, target.requests.size)
        assertTrue(call("/stream/x", "parts: 5c1e\r\n").startsWith("HTTP/1.1 200"))
    }

    @Test
    fun `a request that broke its first worker is sent to a second one`() {
        val workers = listOf(crashingWorker(), crashingWorker())
        serve(*workers.toTypedArray())
        call("/stream/x", "parts: dead\r\n")
        assertEquals(2, workers.sumOf { it.requests.size })
    }

    @Test
    fun `a request that broke its worker is not sent again if a part of it is suspected of another crash`() {
        val workers = listOf(crashingWorker(), crashingWorker())
        serve(*workers.toTypedArray())
        suspect("m/9@1")
        call("/stream/x", "parts: dead\r\n")
        assertEquals(1, workers.sumOf { it.requests.size })
    }

    @Test
    fun `a request is taken away from its worker when a part of it is quarantined before the first event`() {
        val target = worker(Script.NoResponse)
        serve(target)
        val response = CompletableFuture.supplyAsync { call("/stream/x", "parts: dead\r\n") }
        while (target.requests.isEmpty()) Thread.onSpinWait()
        quarantine()
        assertTrue(response.get().startsWith("HTTP/1.1 502"))
        assertTrue(target.awaitConnectionClose())
    }
}
