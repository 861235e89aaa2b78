/*
 * What the complete response of a target means for its request: whether it may be sent elsewhere, and whether the
 * response may reach the caller. Only a statement that the request was not executed frees it; a status alone is none,
 * and a status by which callers take it that nothing was executed does not reach them without such a statement.
 */
package auburnhall.gateway

/** What a response means for its request. */
internal sealed interface ResponseMeaning {
    /** The target did not execute the request. */
    data object NotExecuted : ResponseMeaning

    /** The response of the worker, for the caller. */
    data object Final : ResponseMeaning

    /** The response cannot reach the caller because of [fault], and the request may have been executed. */
    data class Failed(
        val fault: String,
    ) : ResponseMeaning

    companion object {
        /** The response with [head] of a worker. */
        fun ofWorker(head: WorkerResponseHead): ResponseMeaning =
            if (head.notExecuted) NotExecuted else ofExecuted(head)

        /** The response with [head] of another process, which states [execution]; null if it states nothing. */
        fun ofHelper(
            head: WorkerResponseHead,
            execution: Execution?,
        ): ResponseMeaning =
            when {
                head.authentic || execution == Execution.Relayed -> ofExecuted(head)
                execution == Execution.NotExecuted -> NotExecuted
                else -> Failed("helper ended with ${head.status}, and does not say that nothing was executed")
            }

        private fun ofExecuted(head: WorkerResponseHead): ResponseMeaning =
            when {
                head.isSuccess && !head.authentic -> Failed("response is not signed or was re-encoded")
                head.status in NOT_EXECUTED_STATUSES ->
                    Failed("response has status ${head.status}, and does not say that nothing was executed")
                else -> Final
            }
    }
}

/** Callers take these for a promise that the request was not executed and will not be. */
private val NOT_EXECUTED_STATUSES = setOf(REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE)
