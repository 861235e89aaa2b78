package auburnhall.routing

import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LoadCollectorTest {
    private val time = FakeScheduler()
    private val collector = LoadCollector(time)
    private val choice = CollectorChoice(time, "p3")

    private fun load(requests: Int) = mapOf(7 to TargetLoad(requests, 100 * requests))

    @Test
    fun `adds up the processes here and the other data centres`() {
        collector.onReport("p2", load(2))
        collector.onReport("p3", load(3))
        collector.onReport("p3", load(4))
        collector.onSum("b", load(10))
        val local = collector.reported(load(1))
        assertEquals(TargetLoad(7, 700), local[7])
        assertEquals(TargetLoad(17, 1_700), collector.total(local)[7])
    }

    @Test
    fun `what was reported long ago no longer counts`() {
        collector.onReport("p2", load(2))
        collector.onSum("b", load(10))
        assertTrue(collector.isReportedTo)
        time.advance(2_000)
        assertFalse(collector.isReportedTo)
        assertEquals(emptyMap<Int, TargetLoad>(), collector.total(collector.reported(emptyMap())))
    }

    @Test
    fun `the first process by name collects, the next one while it is silent`() {
        choice.onProcesses(listOf("p1", "p2", "p4"))
        assertEquals("p1", choice.choose())
        repeat(5) {
            time.advance(200)
            choice.onHeard("p1")
            assertEquals("p1", choice.choose())
        }
        time.advance(700)
        assertEquals("p2", choice.choose())
        time.advance(700)
        assertEquals("p3", choice.choose())
        time.advance(3_000)
        assertEquals("p1", choice.choose())
    }

    @Test
    fun `our own work counts once, and as it is now`() {
        val book = LoadBook(time)
        val key = TargetKey("m/1@1")
        book.begin(key, 50)
        val reported = book.own()
        book.summed.onReported(reported)
        book.summed.onSum(mapOf(key.text.hashCode() to TargetLoad(5, 250)))
        assertEquals(TargetLoad(5, 250), book.total(key))
        book.begin(key, 50)
        assertEquals(TargetLoad(6, 300), book.total(key))
        book.end(key, 50)
        book.end(key, 50)
        assertEquals(TargetLoad(4, 200), book.total(key))
        time.advance(2_000)
        assertEquals(TargetLoad.NONE, book.total(key))
    }
}
