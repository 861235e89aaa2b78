package auburnhall.routing

import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PartQuarantineTest {
    private val time = FakeScheduler()
    private val quarantine = PartQuarantine(time)
    private val part = PromptPart("p")

    private fun find() = quarantine.find(listOf(PromptPart("a"), part))

    @Test
    fun `a part is forgotten once no request with it has come for ten minutes`() {
        quarantine.add(CondemnedPart(part, 3, 500, false))
        time.advance(PartQuarantine.IDLE_MS - 1)
        quarantine.onRefused(part)
        time.advance(PartQuarantine.IDLE_MS - 1)
        assertEquals(emptyList<QuarantinedPart>(), quarantine.expire())
        assertEquals(1, find()?.refusals)
        time.advance(1)
        assertEquals(listOf(part), quarantine.expire().map { it.part })
        assertNull(find())
    }

    @Test
    fun `a part is forgotten after a day although requests come`() {
        quarantine.add(CondemnedPart(part, 3, 0, false))
        repeat((PartQuarantine.MAX_AGE_MS / PartQuarantine.IDLE_MS).toInt() * 2) {
            time.advance(PartQuarantine.IDLE_MS / 2)
            quarantine.onRefused(part)
        }
        assertEquals(listOf(part), quarantine.expire().map { it.part })
    }

    @Test
    fun `the number of parts is bounded, and the one refused longest ago is forgotten`() {
        quarantine.add(CondemnedPart(part, 3, 0, false))
        repeat(PartQuarantine.MAX_PARTS - 1) { quarantine.add(CondemnedPart(PromptPart("q$it"), 3, 0, false)) }
        quarantine.onRefused(part)
        quarantine.add(CondemnedPart(PromptPart("last"), 3, 0, false))
        assertEquals(PartQuarantine.MAX_PARTS, quarantine.snapshot.size)
        assertNotNull(find())
        assertNull(quarantine.find(listOf(PromptPart("q0"))))
    }

    @Test
    fun `a part that was released is not adopted from processes that do not know yet`() {
        time.advance(10_000)
        val known = quarantine.add(CondemnedPart(part, 3, 100, false))
        time.advance(500)
        assertTrue(quarantine.release(part, time.nowMs()))
        assertFalse(quarantine.adopt(known))
        assertNull(find())
        time.advance(1_000)
        val later = QuarantinedPart(part, 3, time.nowMs(), time.nowMs() + PartQuarantine.IDLE_MS)
        assertTrue(quarantine.adopt(later))
        assertNotNull(find())
    }
}
