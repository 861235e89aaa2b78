package auburnhall.process

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

/** Checks docs/FAULTS.md against the tests that it names. */
class FaultTableTest {
    private val root =
        generateSequence(
            File("").absoluteFile,
        ) { it.parentFile }.first { File(it, "docs/FAULTS.md").isFile }
    private val lines = File(root, "docs/FAULTS.md").readLines()
    private val legend =
        lines.mapNotNull { LEGEND.matchEntire(it) }.associate { it.groupValues[1] to it.groupValues[2] }
    private val cells = lines.filter { it.startsWith("| ") }.dropLegend().flatMap { it.cells() }

    @Test
    fun `every test that is named exists`() {
        val sources =
            root
                .walkTopDown()
                .onEnter { it.name !in SKIPPED }
                .map { it.name }
                .toSet()
        assertEquals(emptyList<String>(), legend.values.filter { "$it.kt" !in sources })
        assertTrue(legend.isNotEmpty())
    }

    @Test
    fun `every cell names tests, is not proved, or cannot arise`() {
        val wrong = cells.filterNot { cell -> cell.split(' ').all { it in legend || it == "–" || REASON.matches(it) } }
        assertEquals(emptyList<String>(), wrong)
        val open = cells.count { it == "–" }
        val impossible = cells.count { REASON.matches(it) }
        println(
            "fault matrix: ${cells.size - open - impossible} cells proved, $open not proved, $impossible impossible",
        )
    }

    /** Rows between the legend and the mutations. */
    private fun List<String>.dropLegend(): List<String> {
        val start = lines.indexOf("## Requests")
        val end = lines.indexOf("## Mutations")
        return lines.subList(start, end).filter { it.startsWith("| ") && !it.startsWith("| fault ") }
    }

    private fun String.cells() = trim('|', ' ').split(" | ").drop(1).map { it.trim() }

    private companion object {
        val LEGEND = Regex("""\| ([A-Z]) \| `(\w+)` \| .*""")
        val REASON = Regex("""x\d""")
        val SKIPPED = setOf("target", ".git", "node_modules")
    }
}
