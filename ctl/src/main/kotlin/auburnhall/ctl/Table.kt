/*
 * Tables for people.
 */
package auburnhall.ctl

/** Lays out rows of cells in columns. */
internal class Table(
    private vararg val headings: String,
) {
    private val rows = ArrayList<List<String>>()

    /** Adds a row. */
    fun row(vararg cells: Any?) {
        rows += cells.map { it?.toString() ?: "-" }
    }

    override fun toString(): String {
        val all = listOf(headings.toList()) + rows
        val widths = headings.indices.map { column -> all.maxOf { it[column].length } }
        return all.joinToString("\n") { row ->
            row.mapIndexed { i, cell -> cell.padEnd(widths[i]) }.joinToString("  ").trimEnd()
        }
    }
}
