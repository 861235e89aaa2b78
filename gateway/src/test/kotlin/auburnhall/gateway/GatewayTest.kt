package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

class GatewayTest : GatewayFixture() {
    @Test
    fun `a response is relayed with status, signature and body`() {
        serve(worker(Script.Send(full("hello"))))
        val response = call("/safe/x")
        assertTrue(response.startsWith("HTTP/1.1 200"))
        assertTrue(response.contains("stamp: s") && response.endsWith("hello"))
    }

    @Test
    fun `a stream that breaks within an event is resumed at another worker, and each event is relayed once`() {
        val brokenStream = stream(1, 2) + "f\r\nid: 3\nda"
        val first = worker(Script.Reset(brokenStream), Script.Send(stream(3, 4) + lastChunk))
        val second = worker(Script.Reset(brokenStream), Script.Send(stream(3, 4) + lastChunk))
        serve(first, second)
        // The worker that is chosen first breaks the stream; the other must be asked to resume after event 2.
        val response = call("/stream/x")
        val resumed = (first.requests + second.requests).filter { it.contains("after: 2") }
        assertEquals(1, resumed.size)
        assertEquals(listOf(1, 2), eventIds(response).take(2))
        assertEquals(eventIds(response).distinct(), eventIds(response))
    }

    @Test
    fun `events that a second worker repeats are not relayed again`() {
        val scripts = arrayOf<Script>(Script.Reset(stream(1, 2)))
        val breaking = worker(*scripts)
        val resuming = worker(Script.Send(stream(2, 3) + lastChunk))
        serve(breaking, resuming)
        val response = call("/stream/x")
        if (breaking.requests.isNotEmpty()) {
            assertEquals(listOf(1, 2, 3), eventIds(response))
        } else {
            assertEquals(listOf(2, 3), eventIds(response))
        }
    }

    @Test
    fun `a stream that breaks off goes on at a third worker when the second one rejects it`() {
        val full = Script.Send("HTTP/1.1 503 Busy\r\nid: q1\r\nnotrun: 1\r\ncontent-length: 0\r\n\r\n")
        val rest = Script.Send(stream(2, 3) + lastChunk)
        val resumes = AtomicInteger()
        val resumed = Script.Chosen { if (resumes.incrementAndGet() == 1) full else rest }
        val script = Script.Resumable(Script.Reset(stream(1)), resumed)
        serve(worker(script), worker(script), worker(script))
        val response = call("/stream/x")
        assertEquals(listOf(1, 2, 3), eventIds(response))
        assertTrue(response.endsWith(lastChunk))
    }

    @Test
    fun `a stream that every other worker rejects ends after a few`() {
        val full = Script.Send("HTTP/1.1 503 Busy\r\nid: q1\r\nnotrun: 1\r\ncontent-length: 0\r\n\r\n")
        val script = Script.Resumable(Script.Reset(stream(1)), full)
        serve(*Array(8) { worker(script) })
        assertFalse(call("/stream/x").endsWith(lastChunk))
        assertEquals(4, workers.sumOf { it.requests.size })
    }

    @Test
    fun `a stream that cannot be resumed is not ended as if it were complete`() {
        serve(worker(Script.Reset(stream(1))))
        val response = call("/stream/x")
        assertFalse(response.endsWith(lastChunk))
    }

    private fun unframed(text: String) =
        "HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\ncontent-type: text/event-stream\r\n\r\n$text"

    @Test
    fun `a stream without length or chunks that ends inside an event is resumed, not ended as if it were complete`() {
        val broken = Script.Close(unframed("id: 1\ndata: e1\n\nid: 2\nda"))
        val workers = listOf(worker(broken), worker(broken))
        serve(*workers.toTypedArray())
        assertFalse(call("/stream/x").endsWith(lastChunk))
        assertEquals(1, workers.flatMap { it.requests }.count { it.contains("after: 1") })
    }

    @Test
    fun `a stream without length or chunks that ends inside an event and cannot be resumed is aborted`() {
        serve(worker(Script.Close(unframed("id: 1\ndata: e1\n\nid: 2\nda"))))
        assertFalse(call("/stream/x").endsWith(lastChunk))
    }

    @Test
    fun `a stream without length or chunks that ends after an event is complete`() {
        serve(worker(Script.Close(unframed("id: 1\ndata: e1\n\n"))))
        assertTrue(call("/stream/x").endsWith(lastChunk))
    }

    @Test
    fun `a request that is not idempotent is sent once, and gets status 502 if its response is lost`() {
        val target = worker(Script.Reset(""), Script.Send(full("again")))
        serve(target)
        assertTrue(call("/unsafe/x", method = "POST").startsWith("HTTP/1.1 502"))
        assertEquals(1, target.requests.size)
    }

    @Test
    fun `a request that the worker did not execute gets status 503 and a time to retry`() {
        serve(worker(Script.Send("HTTP/1.1 503 Busy\r\nid: q1\r\nnotrun: 1\r\ncontent-length: 0\r\n\r\n")))
        val response = call("/unsafe/x", method = "POST")
        assertTrue(response.startsWith("HTTP/1.1 503") && response.contains("again-in-ms:"), response)
    }

    @Test
    fun `a successful response without a signature gives status 502`() {
        serve(worker(Script.Send(full("forged", stamp = ""))))
        assertTrue(call("/unsafe/x", method = "POST").startsWith("HTTP/1.1 502"))
    }

    @Test
    fun `a late response to another request is dropped`() {
        serve(worker(Script.Send(full("other", id = "q0") + full("mine"))))
        assertTrue(call("/safe/x").endsWith("mine"))
    }

    @Test
    fun `surplus bytes after a response do not reach the next request`() {
        val target = worker(Script.Send(full("one") + full("surplus")), Script.Send(full("two")))
        serve(target)
        assertTrue(call("/safe/x").endsWith("one"))
        assertTrue(call("/safe/x").endsWith("two"))
    }

    @Test
    fun `the connection to the worker is closed when the caller disconnects`() {
        val silent = worker(Script.NoResponse)
        serve(silent)
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write("GET /safe/x HTTP/1.1\r\nHost: h\r\nid: q1\r\nkey: k\r\n\r\n".toByteArray())
            socket.getOutputStream().flush()
            while (silent.requests.isEmpty()) Thread.onSpinWait()
        }
        assertTrue(silent.awaitConnectionClose())
    }

    @Test
    fun `a request that was sent gets status 504, not 503, at its deadline`() {
        serve(worker(Script.NoResponse))
        assertTrue(call("/safe/x", "left: 80\r\n").startsWith("HTTP/1.1 504"))
    }

    @Test
    fun `unknown keys and routes are refused`() {
        serve(worker())
        assertTrue(call("/nowhere/x").startsWith("HTTP/1.1 404"))
        assertTrue(call("/safe/x", "key: wrong\r\n").startsWith("HTTP/1.1 401"))
    }

    @Test
    fun `a request with both Content-Length and Transfer-Encoding is refused`() {
        serve(worker())
        assertTrue(
            call("/safe/x", "content-length: 3\r\ntransfer-encoding: chunked\r\n", "POST").startsWith("HTTP/1.1 400"),
        )
    }
}
