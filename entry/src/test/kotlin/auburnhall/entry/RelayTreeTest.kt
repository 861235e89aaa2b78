package auburnhall.entry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RelayTreeTest {
    @Test
    fun `the levels below the controller hold 16, 256 and 4096 processes`() {
        val levels = listOf(1, 2, 17, 18, 273, 274, 370, 4_369, 4_370).map(RelayTree::levels)
        assertEquals(listOf(1, 1, 1, 2, 2, 3, 3, 3, 4), levels)
    }

    @Test
    fun `a process is one level below its parent`() {
        val names = (100 until 400).map { "n$it" }
        for (name in names - "n200") {
            val parent = RelayTree.parents(name, "n200", names).first()
            assertEquals(RelayTree.level(parent, "n200", names) + 1, RelayTree.level(name, "n200", names), name)
        }
    }
}
