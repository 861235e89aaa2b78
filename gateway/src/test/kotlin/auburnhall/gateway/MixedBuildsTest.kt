package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.net.Socket

/**
 * Processes of this build beside those of an earlier one, which neither state whether a request was executed nor read
 * that. An earlier sender takes each response that is not signed for a refusal, unless its status is 500, 502 or 504.
 */
class MixedBuildsTest : IsolatedProcessFixture() {
    private val newHelper = otherProcess()

    /** The response of [newHelper] to a process of an earlier build that passes on a request to [path]. */
    private fun passOn(
        path: String,
        method: String,
    ): String =
        Socket("127.0.0.1", newHelper.helped.port).use { socket ->
            val fields = "Host: h\r\nid: q1\r\nkey: k\r\nmodel: m\r\nleft: 3000\r\nAuburnhall-Passed-On: old,2\r\n"
            socket.getOutputStream().write("$method $path HTTP/1.1\r\n$fields\r\n".toByteArray())
            readResponse(socket)
        }

    private fun isRefusalToEarlierBuild(response: String) =
        "stamp: s" !in response && status(response) !in listOf("500", "502", "504")

    /** Guards against a second run, since an earlier build takes a worker's answer for a refusal (TWICE). */
    @ParameterizedTest
    @MethodSource("auburnhall.gateway.WorkerAnswer#all")
    fun `a helper gives a sender of an earlier build no answer that it would take for a refusal`(answer: WorkerAnswer) {
        val worker = newHelper.workerOf(*Array(MAX_REQUESTS) { Script.Send(answer.text) })
        newHelper.serveBy(worker)
        val response = passOn(answer.path, answer.method)
        assertTrue(worker.requests.isNotEmpty())
        assertEquals(answer.notRun, isRefusalToEarlierBuild(response), response)
        assertFalse("auburnhall" in response.lowercase(), response)
    }

    @Test
    fun `a helper that is isolated refuses a request of an earlier build so that it finds the next process`() {
        assertTrue(isRefusalToEarlierBuild(passOn("/unsafe/x", "POST")))
    }

    /** Guards against taking the answer of a helper of an earlier build for a refusal (TWICE, REFUSED). */
    @ParameterizedTest
    @MethodSource("auburnhall.gateway.WorkerAnswer#all")
    fun `a sender takes no answer of a helper of an earlier build for a refusal`(answer: WorkerAnswer) {
        val oldHelper = worker(Script.Send(answer.text.replace("notrun: 1\r\n", "")))
        val worker = newHelper.workerOf(*Array(MAX_REQUESTS) { Script.Send(full("hello")) })
        newHelper.serveBy(worker)
        connectTo(oldHelper.port, newHelper.helped.port)
        refusing()
        val status = status(call(answer.path, "left: 3000\r\n", answer.method)).toInt()
        assertEquals(1, oldHelper.requests.size)
        assertTrue(status !in WorkerAnswer.PROMISES, "$answer: $status")
        if (answer.method == "POST") assertEquals(0, worker.requests.size)
    }

    /** Guards against internal statements that reach callers. */
    @Test
    fun `a caller does not see what processes state to each other`() {
        val statement = "Auburnhall-Execution: none\r\nstamp: s\r\n"
        val sent = arrayOf(full("a"), full("b", status = "409 Conflict", stamp = statement), stream(1) + lastChunk)
        val scripts = sent.map { Script.Send(it) }.toTypedArray()
        newHelper.serveBy(newHelper.workerOf(*scripts))
        connectTo(newHelper.helped.port)
        refusing()
        val responses = listOf(call("/safe/x"), call("/unsafe/x", method = "POST"), call("/stream/x"))
        assertEquals(listOf("200", "409", "200"), responses.map(::status))
        responses.forEach { assertFalse("auburnhall" in it.lowercase(), it) }
    }

    private companion object {
        const val MAX_REQUESTS = 4
    }
}
