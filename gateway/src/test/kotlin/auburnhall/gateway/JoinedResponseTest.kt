package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket

/** A worker that sends a second copy behind a response that states no end, or in place of an event. */
class JoinedResponseTest : GatewayFixture() {
    private val plain = "HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\n\r\n"
    private val stream = "HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\ncontent-type: text/event-stream\r\n\r\n"
    private val twoEvents = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
    private val rest = Script.Send(stream(3, 4) + lastChunk)

    private fun assertResumed(first: Script) {
        val script = Script.Resumable(first, rest)
        serve(worker(script), worker(script))
        val response = call("/stream/x")
        assertEquals(listOf(1, 2, 3, 4), eventIds(response))
        assertEquals(0, response.lastIndexOf("HTTP/1.1"), response)
        assertTrue(response.endsWith(lastChunk), response)
    }

    /** Guards against a body that consists of the worker's body and of a second copy with its head. */
    @Test
    fun `a plain response that states no end and is followed by a copy is not passed on`() {
        serve(worker(Script.Close(plain + "body" + plain + "body")))
        val response = call("/unsafe/x", method = "POST")
        assertTrue(response.startsWith("HTTP/1.1 502"), response)
    }

    @Test
    fun `a plain response that states no end and mentions a status line is passed on`() {
        val body = "HTTP/1.1 200 OK\r\nserver: w\r\n\r\nid: q1 of HTTP/1.1 200 OK"
        serve(worker(Script.Close(plain + body)))
        val response = call("/unsafe/x", method = "POST")
        assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith(body), response)
    }

    /** Guards against a head that is passed on as an event. */
    @Test
    fun `a stream that states no end is resumed where a copy of it begins`() =
        assertResumed(Script.Close(stream + twoEvents + stream + twoEvents))

    @Test
    fun `a stream that states no end is resumed where a copy begins inside an event`() =
        assertResumed(Script.Close(stream + twoEvents + "id: 3\nda" + stream + twoEvents))

    @Test
    fun `a stream that states no end is resumed where a copy without an id begins`() =
        assertResumed(Script.Close(stream + twoEvents + stream.replace("id: q1\r\n", "") + twoEvents))

    @Test
    fun `a chunk that begins with a head is no event`() =
        assertResumed(Script.Send(stream(1, 2) + chunk(stream + twoEvents) + lastChunk))

    @Test
    fun `a stream without ids of events does not look whole when a copy of it begins`() {
        serve(worker(Script.Close(stream + "data: e1\n\n" + stream + "data: e1\n\n")))
        val response = call("/stream/x")
        assertFalse(response.endsWith(lastChunk), response)
        assertEquals(0, response.lastIndexOf("HTTP/1.1"), response)
    }

    /** Guards against a late copy for a request that has no id to tell it by. */
    @Test
    fun `a request without an id shares no connection with another`() {
        val ids = listOf("a", "b", null, null, "c")
        serve(worker(*ids.map { Script.Send(full("own", id = "$it")) }.toTypedArray()))
        val connects = ids.map { post(it) }
        assertEquals(listOf(1L, 1L, 2L, 3L), connects.dropLast(1))
        assertTrue(connects.last() in 3L..4L, "$connects")
    }

    /** Returns the number of connections to workers after a request with [id]. */
    private fun post(id: String?): Long {
        val field = id?.let { "id: $it\r\n" }.orEmpty()
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            socket.getOutputStream().write("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nkey: k\r\n$field\r\n".toByteArray())
            val response = readResponse(socket)
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("own"), response)
        }
        return loop.submit<Long> { client.connects }.get()
    }
}
