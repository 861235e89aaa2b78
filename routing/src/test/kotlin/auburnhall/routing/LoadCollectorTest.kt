package auburnhall.routing

import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LoadCollectorTest {
    private val time = FakeScheduler()
    private val collector = LoadCollector(time)
    private val selector = CollectorSelector(time, "p3")

    private fun load(requests: Int) = mapOf(7 to TargetLoad(requests, 100 * requests))

    @Test
    fun `adds up the processes of this data centre and the other data centres`() {
        collector.onReport("p2", load(2))
        collector.onReport("p3", load(3))
        collector.onReport("p3", load(4))
        collector.onDataCentreTotal("b", load(10))
        val local = collector.dataCentreTotal(load(1))
        assertEquals(TargetLoad(7, 700), local[7])
        assertEquals(TargetLoad(17, 1_700), collector.systemTotal(local)[7])
    }

    @Test
    fun `expired reports are not counted`() {
        collector.onReport("p2", load(2))
        collector.onDataCentreTotal("b", load(10))
        assertTrue(collector.hasReports)
        time.advance(2_000)
        assertFalse(collector.hasReports)
        assertEquals(emptyMap<Int, TargetLoad>(), collector.systemTotal(collector.dataCentreTotal(emptyMap())))
    }

    @Test
    fun `the first process by name is the collector, and the next one while it does not respond`() {
        selector.updateProcesses(listOf("p1", "p2", "p4"))
        assertEquals("p1", selector.choose())
        repeat(5) {
            time.advance(200)
            selector.onTotalReceived("p1")
            assertEquals("p1", selector.choose())
        }
        time.advance(700)
        assertEquals("p2", selector.choose())
        time.advance(700)
        assertEquals("p3", selector.choose())
        time.advance(3_000)
        assertEquals("p1", selector.choose())
    }

    @Test
    fun `the load of this process counts once, with its current value`() {
        val loadTracker = LoadTracker(time)
        val key = TargetKey("m/1@1")
        loadTracker.begin(key, 50)
        val reported = loadTracker.ownLoads()
        loadTracker.aggregate.onReportSent(reported)
        loadTracker.aggregate.onTotal(mapOf(key.text.hashCode() to TargetLoad(5, 250)))
        assertEquals(TargetLoad(5, 250), loadTracker.total(key))
        loadTracker.begin(key, 50)
        assertEquals(TargetLoad(6, 300), loadTracker.total(key))
        loadTracker.end(key, 50)
        loadTracker.end(key, 50)
        assertEquals(TargetLoad(4, 200), loadTracker.total(key))
        time.advance(2_000)
        assertEquals(TargetLoad.NONE, loadTracker.total(key))
    }
}
