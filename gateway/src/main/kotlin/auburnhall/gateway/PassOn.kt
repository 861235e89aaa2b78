/*
 * What two processes state to each other when one passes a request on to the other. A response that a process relays
 * from a worker looks like one of its own, so each response says which it is, and whether the request was executed.
 * Processes of earlier builds neither make nor read these statements about responses: a response without one states
 * nothing, and a process that does not read them gets no response that it would misunderstand.
 */
package auburnhall.gateway

import io.netty.handler.codec.http.HttpHeaders

/** What a process states about a request that it passes on. */
data class PassOn(
    /** The name of that process. */
    val process: String,
    /** Number of targets, at least 1, that the request may still be sent to. */
    val attemptsLeft: Int,
    /** Whether that process reads what [Execution] states of a response. */
    val readsExecution: Boolean = true,
) {
    /** Writes it to [headers] of a request. */
    fun write(headers: HttpHeaders) {
        headers.set(HEADER, process + (if (readsExecution) READS_EXECUTION else "") + ",$attemptsLeft")
    }

    /** Writes [execution] to the [headers] of the response if the process reads it. */
    fun state(
        execution: Execution,
        headers: HttpHeaders,
    ) {
        if (readsExecution) execution.write(headers)
    }

    /** Whether the process would take the worker's response with [head] for a refusal of a request that has not run. */
    fun misreads(head: WorkerResponseHead): Boolean =
        !readsExecution && !head.authentic && head.status !in UNCERTAIN_STATUSES

    companion object {
        private const val HEADER = "Auburnhall-Passed-On"

        /** Follows the name of the process, where a process that does not know it takes it for a part of the name. */
        private const val READS_EXECUTION = ";reads-execution"

        /** With these, processes that do not read [Execution] take it that the request may have been executed. */
        private val UNCERTAIN_STATUSES = setOf(500, BAD_GATEWAY, GATEWAY_TIMEOUT)

        /** Reads and removes what [write] wrote; null if it is missing or unreadable. */
        fun take(headers: HttpHeaders): PassOn? {
            val value = headers.get(HEADER).orEmpty()
            headers.remove(HEADER)
            val sender = value.substringBeforeLast(',')
            val attemptsLeft = value.substringAfterLast(',').toIntOrNull() ?: return null
            val readsExecution = sender.endsWith(READS_EXECUTION)
            return PassOn(sender.removeSuffix(READS_EXECUTION), attemptsLeft.coerceAtLeast(1), readsExecution)
        }
    }
}

/** What a process states in its response to a request that was passed on to it. */
sealed class Execution(
    private val text: String,
) {
    /** The process refuses the request: no worker has executed it, and none will. */
    data object NotExecuted : Execution("none")

    /** The response is that of a worker, unchanged. */
    data object Relayed : Execution("relayed")

    /** The process gives the request up, which a worker may have executed. */
    data object Uncertain : Execution("uncertain")

    /** Writes it to [headers] of a response. */
    fun write(headers: HttpHeaders) {
        headers.set(HEADER, text)
    }

    companion object {
        private const val HEADER = "Auburnhall-Execution"

        /** Reads and removes what [write] wrote; null if it is missing or unknown. */
        fun take(headers: HttpHeaders): Execution? {
            val text = headers.getAll(HEADER).singleOrNull()
            headers.remove(HEADER)
            return listOf(NotExecuted, Relayed, Uncertain).firstOrNull { it.text == text }
        }
    }
}
