/*
 * Reads and checks the operators' lists.
 */
package auburnhall.config

import auburnhall.core.CustomerList
import auburnhall.core.UsageList
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Turns the text of the two files into lists, or into everything that is wrong with them. */
object ListReader {
    /** Reads both files. What the lists say is checked once both have the right shape. */
    fun read(files: ListFiles): Result<Lists, List<Problem>> {
        val customers = ListFile(CUSTOMERS_FILE, files.customers, CustomerList.serializer())
        val usage = ListFile(USAGE_FILE, files.usage, UsageList.serializer())
        val shape = customers.shapeProblems + usage.shapeProblems
        return if (shape.isEmpty()) check(customers, usage) else Err(shape.sortedWith(BY_LINE))
    }

    private fun check(
        customers: ListFile<CustomerList>,
        usage: ListFile<UsageList>,
    ): Result<Lists, List<Problem>> {
        val lists = Lists(customers.value(), usage.value())
        val problems =
            CustomerRules(lists.customers).problems().map { customers.problem(it) } +
                UsageRules(lists).problems().map { usage.problem(it) }
        return if (problems.isEmpty()) Ok(lists) else Err(problems.sortedWith(BY_LINE))
    }

    private val BY_LINE = compareBy<Problem>({ it.file }, { it.line })
}

/** What a rule finds wrong with the field at [path]. */
internal data class Violation(
    val path: String,
    val message: String,
)

/** One of the two files. */
internal class ListFile<T>(
    private val name: String,
    private val text: String,
    private val serializer: KSerializer<T>,
) {
    private val lines: LineIndex? = if (syntaxError() == null) LineIndex(text) else null

    /** Everything that keeps the file from being read. */
    val shapeProblems: List<Problem> get() = syntaxError()?.let { listOf(it) } ?: shape().map { problem(it) }

    /** What the file says; only for a file without [shapeProblems]. */
    fun value(): T = Json.decodeFromString(serializer, text)

    /** [violation] with its place in the file. */
    fun problem(violation: Violation) =
        Problem(name, lines?.lineOf(violation.path) ?: 1, violation.path.ifEmpty { "file" }, violation.message)

    private fun shape(): List<Violation> {
        val found = ArrayList<Violation>()
        ListShape { path, message -> found += Violation(path, message) }
            .check("", Json.parseToJsonElement(text), serializer.descriptor)
        return found + lines?.repeated.orEmpty().map { Violation(it, "is given twice") }
    }

    private fun syntaxError(): Problem? =
        try {
            Json.parseToJsonElement(text)
            null
        } catch (e: SerializationException) {
            val message =
                e.message
                    .orEmpty()
                    .lineSequence()
                    .first()
            val offset =
                OFFSET
                    .find(message)
                    ?.groupValues
                    ?.get(1)
                    ?.toInt() ?: 0
            val line = text.take(offset).count { it == '\n' } + 1
            Problem(name, line, "file", "is not valid JSON: $message")
        }

    private companion object {
        val OFFSET = Regex("offset (\\d+)")
    }
}
