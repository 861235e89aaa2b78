package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** A worker's answer to a request to [path], and what a caller may get for it. */
data class WorkerAnswer(
    val path: String,
    val status: Int,
    val notRun: Boolean,
    val signed: Boolean,
) {
    private val order = path.startsWith("/unsafe")
    private val fields = listOfNotNull("notrun: 1".takeIf { notRun }, "stamp: s".takeIf { signed })

    val method = if (order) "POST" else "GET"

    /** The bytes of the answer. */
    val text = "HTTP/1.1 $status Any\r\nid: q1\r\n${fields.joinToString(
        "",
    ) { "$it\r\n" }}content-length: 5\r\n\r\nhello"

    /** Whether it can reach the caller as it is. */
    private val relayed = !notRun && status !in PROMISES && (signed || status >= FIRST_FAILURE)

    /** Checks the [status] that the caller got for a request that [workers] have received. */
    fun check(
        callerStatus: Int,
        workers: List<ScriptedWorker>,
    ) {
        val received = workers.sumOf { it.requests.size }
        val runs = if (notRun) 0 else received
        assertTrue(received > 0, "no worker was asked")
        assertTrue(runs <= if (order) 1 else STREAM_ATTEMPTS, "$this: $runs runs")
        assertTrue(runs == 0 || callerStatus !in PROMISES, "$this: ran, and its caller got $callerStatus")
        assertTrue(!notRun || callerStatus in PROMISES, "$this: did not run, and its caller got $callerStatus")
        if (relayed) assertEquals(status, callerStatus)
    }

    companion object {
        /** Callers take these for a promise that the request has not run and never will. */
        val PROMISES = setOf(408, 421, 429, 503)
        private const val FIRST_FAILURE = 300
        private const val STREAM_ATTEMPTS = 2
        private val STATUSES = listOf(200, 302, 400, 404, 408, 409, 421, 422, 429, 500, 502, 503, 504)

        /** Each status, with and without the statement that it did not run, and a signature, for orders and streams. */
        @JvmStatic
        fun all(): List<WorkerAnswer> =
            listOf("/unsafe/x", "/unsafe-3/x", "/stream/x").flatMap { path ->
                STATUSES.flatMap { status ->
                    listOf(false, true).flatMap { notRun ->
                        listOf(false, true).map { signed -> WorkerAnswer(path, status, notRun, signed) }
                    }
                }
            }
    }
}
