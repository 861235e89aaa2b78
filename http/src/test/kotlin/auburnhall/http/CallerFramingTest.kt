package auburnhall.http

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.net.Socket
import java.util.Collections
import kotlin.random.Random

/** Requests of callers in all framings, cut anywhere, and bytes that are no requests. */
class CallerFramingTest {
    private val loop = newEventLoop("callers")
    private val seen = Collections.synchronizedList(ArrayList<String>())
    private val server =
        HttpServer(loop, Clock.SYSTEM, { CallerLimits.DEFAULT }) { request, response ->
            val text = "${request.method} ${request.uri} ${String(request.body, Charsets.ISO_8859_1)}"
            seen.add(text)
            response.send(OK, newHeaders(), text.toByteArray(Charsets.ISO_8859_1))
        }
    private val port =
        (
            server
                .bind(Address("127.0.0.1", 0))
                .sync()
                .channel()
                .localAddress() as InetSocketAddress
        ).port

    @AfterEach
    fun end() {
        server.stopListening()
        loop.shutdownGracefully()
    }

    /** Sends [pieces] one after the other and returns all that comes until the connection ends. */
    private fun exchange(pieces: List<ByteArray>): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.tcpNoDelay = true
            socket.soTimeout = TIMEOUT_MS
            val out = socket.getOutputStream()
            runCatching {
                for (piece in pieces) {
                    out.write(piece)
                    out.flush()
                }
                socket.shutdownOutput()
            }
            runCatching { String(socket.getInputStream().readAllBytes(), Charsets.ISO_8859_1) }.getOrDefault("")
        }

    private fun cut(
        bytes: ByteArray,
        random: Random,
    ): List<ByteArray> {
        val cuts = List(random.nextInt(6)) { random.nextInt(bytes.size + 1) }.sorted()
        return (listOf(0) + cuts + bytes.size).zipWithNext { from, to -> bytes.copyOfRange(from, to) }
    }

    private fun chunked(
        body: String,
        random: Random,
    ): String {
        val sizes = generateSequence { 1 + random.nextInt(40) }
        val parts = ArrayList<String>()
        var at = 0
        for (size in sizes) {
            if (at >= body.length) break
            parts.add(body.substring(at, minOf(body.length, at + size)))
            at += size
        }
        val extension = if (random.nextBoolean()) ";x=${random.nextInt()}" else ""
        val trailer = if (random.nextBoolean()) "X-End: 1\r\n" else ""
        return parts.joinToString("") { "${it.length.toString(16)}$extension\r\n$it\r\n" } + "0\r\n$trailer\r\n"
    }

    private fun request(
        number: Int,
        random: Random,
        last: Boolean,
    ): Pair<String, String> {
        val body = String(CharArray(random.nextInt(300)) { BODY.random(random) })
        val close = if (last) "Connection: close\r\n" else ""
        val head = "POST /r$number?q=${random.nextInt(9)} HTTP/1.1\r\nHost: a\r\n$close"
        val framed =
            if (random.nextBoolean()) {
                "${head}Content-Length: ${body.length}\r\n\r\n$body"
            } else {
                "${head}Transfer-Encoding: chunked\r\n\r\n${chunked(body, random)}"
            }
        return framed to head.substringBefore(" HTTP") + " " + body
    }

    @Test
    fun `requests in a row are read as they were sent, however they are framed and cut`() {
        println("seeds = 1..$ROUNDS")
        for (seed in 1..ROUNDS) {
            seen.clear()
            val random = Random(seed)
            val count = 1 + random.nextInt(5)
            val requests = (1..count).map { request(it, random, last = it == count) }
            val answers = exchange(cut(requests.joinToString("") { it.first }.toByteArray(Charsets.ISO_8859_1), random))
            assertEquals(requests.map { it.second }, seen.toList(), "seed $seed")
            assertEquals(count, Regex("HTTP/1.1 200").findAll(answers).count(), "seed $seed")
        }
    }

    @Test
    fun `a request whose length can be read in two ways is refused, and nothing after it is served`() {
        val smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
        val ambiguous =
            listOf(
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
                "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
                "Content-Length: 5, 6\r\n\r\n",
                "Content-Length: -1\r\n\r\n",
                "Content-Length: +5\r\n\r\n",
                "Content-Length: 0x5\r\n\r\n",
                "Content-Length: 5 5\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
                "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            )
        val served = ArrayList<String>()
        for (fields in ambiguous) {
            seen.clear()
            exchange(listOf("POST /first HTTP/1.1\r\nHost: a\r\n$fields$smuggled".toByteArray()))
            if (seen.any { "/smuggled" in it }) served.add(fields)
        }
        assertEquals(emptyList<String>(), served)
    }

    @Test
    fun `bytes that are no request reach nobody, and the next caller is served`() {
        println("seeds = 1001..${1_000 + ROUNDS}")
        for (seed in 1_001..1_000 + ROUNDS) {
            val random = Random(seed)
            val valid = request(1, random, last = true).first.toByteArray(Charsets.ISO_8859_1)
            repeat(1 + random.nextInt(8)) { valid[random.nextInt(valid.size)] = random.nextInt().toByte() }
            exchange(cut(valid, random))
            seen.clear()
            val answer = exchange(listOf("GET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".toByteArray()))
            assertTrue(answer.startsWith("HTTP/1.1 200"), "seed $seed: $answer")
            assertEquals(listOf("GET /next "), seen.toList(), "seed $seed")
        }
    }

    private companion object {
        const val OK = 200
        const val ROUNDS = 300
        const val TIMEOUT_MS = 10_000
        const val BODY = "abcdefghijklmnopqrstuvwxyz0123456789\r\n :;"
    }
}
