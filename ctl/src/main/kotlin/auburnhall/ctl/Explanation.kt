/*
 * Tells from logs what became of a request and why.
 */
package auburnhall.ctl

/** What the logs of all processes say of one request. */
class Explanation(
    private val request: String,
    lines: List<LogLine>,
) {
    private val own = lines.filter { it.request == request }.sortedBy { it.at }
    private val replicas = own.flatMap { targetsOf(it) }.toSet()
    private val around = lines.filter { it.request == null && mentions(it) }.sortedBy { it.at }

    /** Whether the logs hold anything of the request. */
    val found: Boolean get() = own.isNotEmpty()

    /** The lines to show, in order of time: those of the request, then what happened to its targets. */
    fun text(): List<String> =
        buildList {
            add("request $request: ${cause()}")
            own.forEach { add("  ${render(it)}") }
            if (around.isNotEmpty()) add("its targets meanwhile:")
            around.forEach { add("  ${render(it)}") }
        }

    /** One sentence on the outcome. */
    fun cause(): String {
        val refused = own.lastOrNull { it.event == "request.refused" }
        val ended = own.lastOrNull { it.event == "request.ended" }
        return when {
            refused != null -> "refused with ${refused.fields["status"]}: ${refused.fields["reason"]}"
            ended == null -> "no end is logged; the process that served it may have been lost"
            else -> outcomeOf(ended)
        }
    }

    private fun outcomeOf(ended: LogLine): String {
        val took = "after ${ended.fields["took_ms"]} ms"
        val retries = own.filter { it.event == "request.retried" }.map { it.fields["reason"] }
        val resent = if (retries.isEmpty()) "" else ", sent again because: ${retries.joinToString()}"
        return when (ended.fields["outcome"]) {
            "refused" -> "refused $took, not run: ${ended.fields["reason"]}"
            "broken_off" -> "broken off $took: ${ended.fields["cause"]}$resent"
            "deadline" -> "its time was over $took$resent"
            "caller_gone" -> "the caller left $took$resent"
            "worker_error" -> "the worker answered ${ended.fields["status"]} $took"
            else -> "served $took$resent"
        }
    }

    private fun targetsOf(line: LogLine): List<String> =
        listOfNotNull(
            line.fields["targets"],
            line.fields["target"],
        ).flatMap { it.split(',') }.filter { it.isNotEmpty() }

    private fun mentions(line: LogLine): Boolean {
        val named = line.fields["replica"] ?: return false
        return replicas.any { it == named || it.substringBefore('@') == named }
    }

    private fun render(line: LogLine): String {
        val fields = line.fields.entries.joinToString(" ") { "${it.key}=${it.value}" }
        return "${line.at} ${line.process} ${line.event} $fields"
    }
}
