package auburnhall.entry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RelayTreeTest {
    private fun treeOf(
        processes: Int,
        dataCentres: Int = 1,
    ) = namesOf(processes).let { names ->
        RelayTree("n100", names.withIndex().associate { (i, name) -> name to "z${i % dataCentres}" })
    }

    private fun namesOf(processes: Int) = (0 until processes).map { "n${100 + it}" }

    @Test
    fun `the levels below the controller hold 16, 256 and 4096 processes`() {
        val levels = listOf(1, 2, 17, 18, 273, 274, 370, 4_369, 4_370).map { treeOf(it).levels }
        assertEquals(listOf(1, 1, 1, 2, 2, 3, 3, 3, 4), levels)
    }

    @Test
    fun `a process is one level below its parent`() {
        for (dataCentres in listOf(1, 3, 6)) {
            val tree = treeOf(300, dataCentres)
            for (name in namesOf(300) - "n100") {
                val parent = tree.parents(name).first()
                assertEquals(tree.level(parent) + 1, tree.level(name), name)
            }
        }
    }

    /** Guards against changes that cross data centres for each process, which the operators pay for. */
    @Test
    fun `one process of each other data centre takes changes from the controller`() {
        val tree = treeOf(370, dataCentres = 6)
        val place = { name: String -> (name.drop(1).toInt() - 100) % 6 }
        val crossing = (namesOf(370) - "n100").filter { place(tree.parents(it).first()) != place(it) }
        assertEquals(listOf("n101", "n102", "n103", "n104", "n105"), crossing)
        assertTrue(crossing.all { tree.parents(it) == listOf("n100") })
        assertEquals(3, tree.levels)
    }

    /** Guards against a data centre whose processes all turn to the controller, or to none, without their first. */
    @Test
    fun `the next process of a data centre takes the place of its first`() {
        val tree = treeOf(122, dataCentres = 3)
        assertEquals(listOf("n101", "n100"), tree.parents("n104"))
        assertEquals(listOf("n101", "n104", "n100"), tree.parents("n107"))
        assertEquals(listOf("n101", "n104", "n107", "n100"), tree.parents("n113"))
    }
}
