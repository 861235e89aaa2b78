package auburnhall.routing

import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CrashEvidenceTest {
    private val time = FakeScheduler()
    private val evidence = CrashEvidence(time) { 0.0 }
    private var lastTarget = 0

    private fun crash(
        vararg parts: String,
        request: String = "r${lastTarget + 1}",
        target: String = "t${++lastTarget}",
    ) = evidence.onCrash(parts.map(::PromptPart), PartCrash(TargetKey(target), request, "m"))

    private fun served(vararg parts: String) = evidence.onServed(parts.map(::PromptPart), "m", time.nowMs())

    private fun otherRequests(count: Int) = repeat(count) { evidence.onRequest(listOf(PromptPart("other$it")), "m") }

    private fun condemned(): List<String> {
        time.advance(300)
        return listOfNotNull(evidence.condemned()?.part?.id)
    }

    @Test
    fun `a part under which three targets crashed is condemned, while other requests come`() {
        repeat(3) { crash("a$it", "p") }
        assertEquals(emptyList<String>(), condemned())
        otherRequests(3)
        assertEquals(listOf("p"), condemned())
    }

    @Test
    fun `crashes under one request that was retried condemn nothing`() {
        repeat(4) { crash("p", request = "r") }
        otherRequests(9)
        assertEquals(emptyList<String>(), condemned())
    }

    @Test
    fun `requests broken off by one crash condemn nothing`() {
        repeat(9) { crash("p", request = "r$it", target = "t") }
        otherRequests(9)
        assertEquals(emptyList<String>(), condemned())
    }

    @Test
    fun `a part with which a request was served meanwhile is not condemned`() {
        repeat(2) { crash("p") }
        time.advance(1)
        served("p")
        time.advance(2_000)
        repeat(2) { crash("p") }
        otherRequests(9)
        assertEquals(emptyList<String>(), condemned())
    }

    @Test
    fun `a part that all harmful requests share with served ones is cleared when the harmful part is condemned`() {
        served("shared")
        time.advance(2_000)
        repeat(3) { crash("shared", "p") }
        otherRequests(3)
        repeat(9) { served("other$it") }
        assertEquals(listOf("p"), condemned())
        evidence.resolve(PromptPart("p"))
        time.advance(5_000)
        assertEquals(emptyList<String>(), condemned())
        assertEquals(0, evidence.suspectedParts)
    }

    @Test
    fun `of two parts in all crashed requests, the one further back in the prompt is condemned`() {
        repeat(3) { crash("first", "second") }
        otherRequests(3)
        assertEquals(listOf("second"), condemned())
    }

    @Test
    fun `of parts that the same crashes suspect, the one with most crashes is condemned, which clears the others`() {
        repeat(4) {
            crash("p", request = "harmful$it", target = "t$it")
            if (it > 0) crash("victim", request = "sound$it", target = "t$it")
        }
        otherRequests(3)
        assertEquals(listOf("p"), condemned())
        evidence.resolve(PromptPart("p"))
        crash("victim", target = "t3")
        assertEquals(0, evidence.suspectedParts)
    }

    @Test
    fun `of parts that crashed as often under different requests, none is condemned before one crashes again`() {
        repeat(3) {
            crash("p", request = "harmful$it", target = "x$it")
            crash("victim", request = "sound$it", target = "x$it")
        }
        otherRequests(3)
        assertEquals(emptyList<String>(), condemned())
        crash("p")
        assertEquals(listOf("p"), condemned())
    }

    @Test
    fun `a part that was served before is condemned once others are served and it is not`() {
        served("p")
        time.advance(2_000)
        repeat(4) { crash("p") }
        otherRequests(3)
        repeat(3) { served("other$it") }
        time.advance(5_000)
        assertEquals(emptyList<String>(), condemned())
        crash("p")
        assertEquals(listOf("p"), condemned())
    }

    @Test
    fun `a part of nearly all requests is not condemned while everything crashes`() {
        repeat(6) { crash("shared", "own$it") }
        repeat(40) { evidence.onRequest(listOf(PromptPart("shared")), "m") }
        otherRequests(3)
        assertEquals(emptyList<String>(), condemned())
    }

    @Test
    fun `evidence is bounded in number and age`() {
        repeat(1_000) { crash("p$it") }
        assertEquals(CrashEvidence.MAX_PARTS, evidence.suspectedParts)
        repeat(5_000) { served("s$it") }
        assertEquals(null, evidence.servedParts.lastAtMs(PromptPart("s0")))
        time.advance(CrashEvidence.MAX_AGE_MS + 1)
        condemned()
        assertEquals(0, evidence.suspectedParts)
    }

    @Test
    fun `a part suspected of another crash is not sent again`() {
        crash("p", target = "t1")
        assertFalse(evidence.isSuspected(listOf(PromptPart("p")), TargetKey("t1")))
        assertTrue(evidence.isSuspected(listOf(PromptPart("p")), TargetKey("t2")))
    }
}
