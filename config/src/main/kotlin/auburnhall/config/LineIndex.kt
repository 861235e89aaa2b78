/*
 * Where in a JSON text each field stands.
 */
package auburnhall.config

/** Lines of the fields of [text], which must be well-formed JSON. A field's path is written as `plans[2].weight`. */
internal class LineIndex(
    private val text: String,
) {
    private val lines = HashMap<String, Int>()
    private val given = ArrayList<String>()
    private var at = 0
    private var line = 1

    init {
        value("")
    }

    /** Paths of the fields that an object gives more than once. */
    val repeated: List<String> get() =
        given
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys
            .toList()

    /** The line of [path], or that of the nearest enclosing field when the text does not have it; counts from 1. */
    fun lineOf(path: String): Int = lines[path] ?: if (path.isEmpty()) 1 else lineOf(parentOf(path))

    private fun parentOf(path: String) = path.substring(0, maxOf(path.lastIndexOf('.'), path.lastIndexOf('['), 0))

    private fun value(path: String) {
        skipSpace()
        lines.putIfAbsent(path, line)
        when (text[at]) {
            '{' -> elements('}') { field(path) }
            '[' -> elements(']') { index -> value("$path[$index]") }
            '"' -> string()
            else -> while (at < text.length && text[at] !in VALUE_ENDS) at += 1
        }
        skipSpace()
    }

    private fun elements(
        end: Char,
        element: (Int) -> Unit,
    ) {
        next()
        skipSpace()
        var index = 0
        while (text[at] != end) {
            if (text[at] == ',') next()
            skipSpace()
            element(index)
            index += 1
        }
        next()
    }

    private fun field(parent: String) {
        val name = string()
        val path = if (parent.isEmpty()) name else "$parent.$name"
        lines[path] = line
        given += path
        skipSpace()
        next()
        value(path)
    }

    private fun string(): String {
        val start = at + 1
        next()
        while (text[at] != '"') {
            if (text[at] == '\\') next()
            next()
        }
        next()
        return text.substring(start, at - 1)
    }

    private fun skipSpace() {
        while (at < text.length && text[at].isWhitespace()) next()
    }

    private fun next() {
        if (text[at] == '\n') line += 1
        at += 1
    }

    private companion object {
        const val VALUE_ENDS = ",]} \t\r\n"
    }
}
