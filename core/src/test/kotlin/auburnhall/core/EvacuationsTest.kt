package auburnhall.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class EvacuationsTest {
    private fun begun(
        dataCentre: String,
        revision: Long,
        era: Long = 1,
    ) = EvacuationStatement(dataCentre, true, StorePosition(era, revision))

    private fun ended(
        dataCentre: String,
        revision: Long,
        era: Long = 1,
    ) = EvacuationStatement(dataCentre, false, StorePosition(era, revision))

    /** Guards against a process that missed the removal and brings the evacuation back. */
    @Test
    fun `the newer statement holds, in whatever order statements arrive`() {
        val statements = listOf(begun("a", 50), ended("a", 60), begun("a", 70), ended("a", 5, era = 2))
        for (order in listOf(statements, statements.reversed(), statements.sortedBy { it.evacuated })) {
            val known = order.fold(Evacuations.NONE) { known, next -> known.with(listOf(next)) }
            assertEquals(emptySet<String>(), known.dataCentres)
            assertEquals(statements.last(), known.statements.single())
        }
    }

    /** Guards against an older read of the store that ends an evacuation which another process has just read. */
    @Test
    fun `a read ends only evacuations that were written before it`() {
        val known = Evacuations.NONE.with(listOf(begun("a", 50), begun("b", 150)))
        val read = StoredEvacuations(emptyMap(), StorePosition(1, 100))
        assertEquals(setOf("b"), known.with(read).dataCentres)
    }

    /** Guards against one evacuation that replaces the other. */
    @Test
    fun `two data centres are evacuated and taken back independently`() {
        val both = StoredEvacuations(mapOf("a" to StorePosition(1, 10), "b" to StorePosition(1, 11)), ZERO)
        val known = Evacuations.NONE.with(both)
        assertEquals(setOf("a", "b"), known.dataCentres)
        val one = StoredEvacuations(mapOf("b" to StorePosition(1, 11)), StorePosition(1, 12))
        assertEquals(setOf("b"), known.with(one).dataCentres)
    }

    private companion object {
        val ZERO = StorePosition(0, 0)
    }
}
