package auburnhall.entry

import auburnhall.core.ColdSource
import auburnhall.core.ColdState
import auburnhall.core.EventListener
import auburnhall.core.StoreItem
import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class WorkerColdnessTest {
    private val time = FakeScheduler()
    private val registry = WorkerRegistry(time, EventListener.NONE) { null }
    private var write = 0

    private fun put(
        born: Long,
        cold: String? = null,
        number: Int = ++write,
    ) {
        val stated = cold?.let { ""","cold_remaining_ms":$it""" }.orEmpty()
        val json =
            """{"service":"s","address":"1.1.1.1:1","zone":"z","slots":1,"state":"in_service",
                "born":$born,"sequence":$number$stated}"""
        registry.onPut(StoreItem(KEY, json.toByteArray(), number.toLong()))
    }

    private fun state(): ColdState? = registry.fleet(1).cold["i-1"]

    /** Guards against processes that limit all workers at their start, and against full load on a new worker. */
    @Test
    fun `a worker is cold when it appears, restarts or returns, not when it is read first`() {
        put(born = 1)
        assertEquals(null, state())
        put(born = 1)
        assertEquals(null, state())
        put(born = 2)
        assertEquals(ColdSource.RESTARTED, state()?.source)
        registry.onRemoved(KEY)
        assertEquals(null, state())
        put(born = 2)
        assertEquals(ColdSource.RETURNED, state()?.source)
        registry.onRemoved(KEY)
        time.advance(100_000)
        registry.expire()
        put(born = 2)
        assertEquals(ColdSource.APPEARED, state()?.source)
    }

    /** Guards against an old statement that is counted anew, and against one that a worker has replaced. */
    @Test
    fun `what an entry states holds from when it was read, and over other signs`() {
        put(born = 1, cold = "2500.5")
        val read = ColdState(ColdSource.ENTRY, time.nowMs(), 2_500)
        assertEquals(read, state())
        time.advance(1_000)
        put(born = 1, cold = "2500.5", number = write)
        assertEquals(read, state())
        put(born = 2, cold = "0")
        assertEquals(ColdState(ColdSource.ENTRY, time.nowMs(), 0), state())
    }

    private companion object {
        const val KEY = "servers/i-1"
    }
}
