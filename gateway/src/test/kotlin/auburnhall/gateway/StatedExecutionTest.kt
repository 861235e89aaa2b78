package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** What callers and other processes are told about whether a request has run, beside whether it has. */
class StatedExecutionTest : IsolatedProcessFixture() {
    private fun call(answer: WorkerAnswer) = status(call(answer.path, "left: 3000\r\n", answer.method)).toInt()

    /** Another process, and its worker that answers each request with [text]. */
    private fun helperWith(text: String): Pair<OtherProcess, ScriptedWorker> {
        val process = otherProcess()
        val worker = process.workerOf(*Array(MAX_REQUESTS) { Script.Send(text) })
        process.serveBy(worker)
        return process to worker
    }

    /** Guards against calling a request not run that a worker of this process has run (REFUSED). */
    @ParameterizedTest
    @MethodSource("auburnhall.gateway.WorkerAnswer#all")
    fun `a request that a worker has run is not called not run`(answer: WorkerAnswer) {
        val workers = List(2) { worker(*Array(MAX_REQUESTS) { Script.Send(answer.text) }) }
        serve(*workers.toTypedArray())
        answer.check(call(answer), workers)
    }

    /** Guards against taking a worker's answer that a helper passes on for the helper's refusal (TWICE, REFUSED). */
    @ParameterizedTest
    @MethodSource("auburnhall.gateway.WorkerAnswer#all")
    fun `a request that a worker of a helper has run is not sent to the next helper`(answer: WorkerAnswer) {
        val (processes, workers) = List(2) { helperWith(answer.text) }.unzip()
        connectTo(*processes.map { it.helped.port }.toIntArray())
        refusing()
        answer.check(call(answer), workers)
        if (answer.notRun) assertEquals(listOf(1, 1), workers.map { it.requests.size })
    }

    /** Guards against giving up an order that a helper refuses, which has not run. */
    @Test
    fun `an order that the first helper refuses is served by the second one`() {
        val (second, worker) = helperWith(full("sold out", status = "409 Conflict", stamp = ""))
        connectTo(otherProcess().helped.port, second.helped.port)
        refusing()
        val response = call("/unsafe/x", method = "POST")
        assertEquals("409", status(response))
        assertEquals("sold out", response.substringAfter("\r\n\r\n"))
        assertEquals(1, worker.requests.size)
        assertEquals(1, events.names.count { it == "request.declined" })
    }

    /** Guards against asking the next helper when the answer of one that has sent the order on breaks off (TWICE). */
    @Test
    fun `an order is not sent to the next helper when the first is lost within its answer`() {
        val half = ScriptedWorker(Script.Close("HTTP/1.1 503 Busy\r\nid: q1\r\ncontent-length: 5\r\n\r\nhe"))
        workers.add(half)
        val (second, worker) = helperWith(full("hello"))
        connectTo(half.port, second.helped.port)
        refusing()
        assertEquals("502", status(call("/unsafe/x", method = "POST")))
        assertEquals(0, worker.requests.size)
    }

    private companion object {
        const val MAX_REQUESTS = 4
    }
}
