/*
 * Derives the outcome of a request and its cause from the logs of all entry processes.
 */
package auburnhall.ctl

/** The outcome of [request] as found in the log lines of all processes. */
class Explanation(
    private val request: String,
    lines: List<LogLine>,
) {
    private val requestLines = lines.filter { it.request == request }.sortedBy { it.at }
    private val targets = requestLines.flatMap { targetsOf(it) }.toSet()
    private val parts = requestLines.mapNotNull { it.fields["part"] }.toSet()
    private val partLines = lines.filter { it.request == null && it.fields["part"] in parts }.sortedBy { it.at }
    private val replicaLines = lines.filter { it.request == null && namesTarget(it) }.sortedBy { it.at }

    /** Whether any log line names the request. */
    val found: Boolean get() = requestLines.isNotEmpty()

    /** The output lines: the cause, the request's log lines in order of time, then those about its targets. */
    fun text(): List<String> =
        buildList {
            add("request $request: ${cause()}")
            requestLines.forEach { add("  ${render(it)}") }
            if (partLines.isNotEmpty()) add("the part of its prompt:")
            partLines.forEach { add("  ${render(it)}") }
            if (replicaLines.isNotEmpty()) add("its targets meanwhile:")
            replicaLines.forEach { add("  ${render(it)}") }
        }

    /** The outcome and its cause in one line. */
    fun cause(): String {
        val refused = requestLines.lastOrNull { it.event == "request.refused" }
        val ended = requestLines.lastOrNull { it.event == "request.ended" }
        return when {
            refused != null -> "refused with ${refused.fields["status"]}: ${refused.fields["reason"]}"
            ended == null -> "no end is logged; the process that served it may have been lost"
            else -> outcomeOf(ended)
        }
    }

    private fun outcomeOf(ended: LogLine): String {
        val duration = "after ${ended.fields["took_ms"]} ms"
        val retryReasons = requestLines.filter { it.event == "request.retried" }.map { it.fields["reason"] }
        val resentSuffix = if (retryReasons.isEmpty()) "" else ", sent again because: ${retryReasons.joinToString()}"
        return when (ended.fields["outcome"]) {
            "refused" -> "refused $duration, not run: ${ended.fields["reason"]}${evidenceOf(ended)}"
            "broken_off" -> "broken off $duration: ${ended.fields["cause"]}${evidenceOf(ended)}$resentSuffix"
            "deadline" -> "its time was over $duration$resentSuffix"
            "caller_gone" -> "the caller left $duration$resentSuffix"
            "worker_error" -> "the worker answered ${ended.fields["status"]} $duration"
            else -> "served $duration$resentSuffix"
        }
    }

    private fun evidenceOf(line: LogLine): String {
        val part = line.fields["part"] ?: return ""
        return ": $part crashed ${line.fields["crashes"]} targets, the first ${line.fields["age_ms"]} ms before"
    }

    private fun targetsOf(line: LogLine): List<String> =
        listOfNotNull(
            line.fields["targets"],
            line.fields["target"],
        ).flatMap { it.split(',') }.filter { it.isNotEmpty() }

    private fun namesTarget(line: LogLine): Boolean {
        val replica = line.fields["replica"] ?: return false
        return targets.any { it == replica || it.substringBefore('@') == replica }
    }

    private fun render(line: LogLine): String {
        val fields = line.fields.entries.joinToString(" ") { "${it.key}=${it.value}" }
        return "${line.at} ${line.process} ${line.event} $fields"
    }
}
