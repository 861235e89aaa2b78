/*
 * What is counted during a run, and how several runs are summed up.
 */
package auburnhall.bench.load

import auburnhall.core.CustomerId
import org.HdrHistogram.Histogram
import kotlin.math.sqrt

/** How one request ended. */
enum class Ending { GOOD, LATE, FAILED, REFUSED }

/** Counts of one run. */
class Tally {
    private val firstToken = Histogram(LONGEST_MILLIS, DIGITS)
    private val answer = Histogram(LONGEST_MILLIS, DIGITS)
    private val byTeam = HashMap<CustomerId, IntArray>()

    /** Refusals by code of the reason. */
    val refusals = sortedMapOf<String, Int>()

    /** Requests sent to replicas, retries included. */
    var attempts = 0

    /** Tokens generated for answers that were good. */
    var goodTokens = 0L

    /** Place-milliseconds free while a request waited, and all place-milliseconds observed. */
    var idleWhileWaiting = 0.0
    var observed = 0.0

    fun onFirstToken(millis: Long) = firstToken.recordValue(millis.coerceIn(0, LONGEST_MILLIS))

    fun onAnswer(millis: Long) = answer.recordValue(millis.coerceIn(0, LONGEST_MILLIS))

    fun onEnding(
        team: CustomerId,
        ending: Ending,
    ) {
        byTeam.getOrPut(team) { IntArray(Ending.entries.size) }[ending.ordinal] += 1
    }

    fun count(ending: Ending): Int = byTeam.values.sumOf { it[ending.ordinal] }

    val offered: Int get() = byTeam.values.sumOf { it.sum() }

    /** Part of a team's requests that was answered in time. */
    fun goodPart(team: CustomerId): Double {
        val counts = byTeam[team] ?: return 1.0
        return counts[Ending.GOOD.ordinal].toDouble() / counts.sum()
    }

    fun firstTokenMillis(percentile: Double): Double = firstToken.getValueAtPercentile(percentile).toDouble()

    fun answerMillis(percentile: Double): Double = answer.getValueAtPercentile(percentile).toDouble()

    private companion object {
        const val LONGEST_MILLIS = 3_600_000L
        const val DIGITS = 3
    }
}

/** Mean and standard deviation of one figure over several seeds. */
class Spread(
    private val values: List<Double>,
) {
    val mean: Double get() = values.average()

    private val deviation: Double get() = sqrt(values.sumOf { (it - mean) * (it - mean) } / values.size)

    /** The mean and, behind it, the deviation, each with [digits] after the point. */
    fun text(digits: Int = 1): String = "%.${digits}f ±%.${digits}f".format(mean, deviation)
}

/** Writes a table in Markdown. */
fun Appendable.table(
    head: List<String>,
    rows: List<List<String>>,
) {
    appendLine(head.joinToString(" | ", "| ", " |"))
    appendLine(head.joinToString("|", "|", "|") { "---" })
    rows.forEach { appendLine(it.joinToString(" | ", "| ", " |")) }
    appendLine()
}
