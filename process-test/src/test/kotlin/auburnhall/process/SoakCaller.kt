/*
 * Callers on raw sockets. A caller keeps a connection until it ends, sends requests alone or pipelined, and may begin
 * to read late. It records what it received and draws no conclusions.
 */
package auburnhall.process

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketException
import java.net.SocketTimeoutException
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Caller [number] of a day; [processes] are those that run now. */
class SoakCaller(
    private val record: SoakRecord,
    private val number: Int,
    private val processes: () -> List<SoakProcess>,
) {
    private val random = Random(record.seed * SEED_FACTOR + number)
    private var lastId = 0

    /** Calls until [untilNanos]. */
    fun run(untilNanos: Long) {
        while (System.nanoTime() < untilNanos) {
            val process = processes().randomOrNull(random)
            if (process == null || !converse(process, untilNanos)) TimeUnit.MILLISECONDS.sleep(PAUSE_MS)
        }
    }

    /** Uses one connection; false if there was none. */
    private fun converse(
        process: SoakProcess,
        untilNanos: Long,
    ): Boolean {
        val batches = random.nextInt(1, MAX_BATCHES)
        val slowMs = if (random.nextInt(SLOW_ONE_IN) == 0) random.nextLong(SLOW_MIN_MS, SLOW_MAX_MS) else 0
        val socket = Socket()
        if (slowMs > 0) socket.receiveBufferSize = SMALL_BUFFER_BYTES
        return socket.use {
            runCatching { it.connect(InetSocketAddress(process.handle.host, process.handle.port), CONNECT_MS) }
                .onSuccess { _ ->
                    val input = BufferedInputStream(it.getInputStream())
                    var batch = 0
                    while (batch++ < batches && System.nanoTime() < untilNanos) {
                        if (!exchange(it, input, drawCalls(process, slowMs))) break
                        TimeUnit.MILLISECONDS.sleep(random.nextLong(PAUSE_MS))
                    }
                }.isSuccess
        }
    }

    private fun drawCalls(
        process: SoakProcess,
        slowMs: Long,
    ): List<Pair<SoakCall, String>> {
        val routes =
            when (random.nextInt(SHAPES)) {
                0 -> listOf(SoakRoute.ORDERS, SoakRoute.NEWS)
                1 -> listOf(SoakRoute.LOOKUPS, SoakRoute.FEEDS, SoakRoute.NEWS)
                2 -> listOf(SoakRoute.LOOKUPS, SoakRoute.CHAT)
                3 -> List(random.nextInt(2, MAX_PIPELINED)) { SoakRoute.entries.random(random) }
                else -> listOf(SoakRoute.entries.random(random))
            }
        return routes.mapIndexed { place, route ->
            val id = "s${record.seed}-c$number-${++lastId}"
            val large = (routes.size > 1 && place == 0) || random.nextInt(LARGE_ONE_IN) == 0
            SoakCall(id, route, process, place, slowMs) to requestText(id, route, large)
        }
    }

    private fun requestText(
        id: String,
        route: SoakRoute,
        large: Boolean,
    ): String {
        val size =
            when {
                route.streaming -> random.nextInt(MIN_EVENTS, MAX_EVENTS)
                large -> random.nextInt(LARGE_MIN_BYTES, LARGE_MAX_BYTES)
                else -> random.nextInt(SMALL_MAX_BYTES)
            }
        val delayMs = if (route.streaming) random.nextInt(EVENT_MAX_MS) else random.nextInt(DELAY_MAX_MS)
        return "POST ${route.prefix}$delayMs/$size HTTP/1.1\r\nHost: chat.example\r\nAttempt-Id: $id\r\n" +
            "Model: assistant\r\nToken-Count: 100,50\r\nAuthorization: Bearer demo-key\r\n" +
            "Time-Remaining: $DEADLINE_MS\r\nContent-Length: 0\r\n\r\n"
    }

    /** Sends [calls] at once and reads their answers; returns whether the connection goes on. */
    private fun exchange(
        socket: Socket,
        input: InputStream,
        calls: List<Pair<SoakCall, String>>,
    ): Boolean {
        val text = calls.joinToString("") { it.second }
        if (runCatching { socket.getOutputStream().write(text.toByteArray()) }.isFailure) return false
        val sentNanos = System.nanoTime()
        val slowMs = calls[0].first.slowMs
        if (slowMs > 0) TimeUnit.MILLISECONDS.sleep(slowMs)
        var open = true
        var turnNanos = sentNanos
        calls.forEach { (call, _) ->
            call.sentNanos = sentNanos
            call.turnNanos = turnNanos
            call.behindBroken = !open
            if (open) {
                open = AnswerReader(socket, input, call).read()
            } else {
                call.end = CallEnd.CLOSED
            }
            call.endNanos = System.nanoTime()
            turnNanos = call.endNanos
            record.calls.add(call)
        }
        return open
    }

    private companion object {
        const val SEED_FACTOR = 104_729
        const val PAUSE_MS = 60L
        const val CONNECT_MS = 1_000
        const val MAX_BATCHES = 8
        const val MAX_PIPELINED = 5
        const val SHAPES = 7
        const val SLOW_ONE_IN = 3
        const val SLOW_MIN_MS = 1_000L
        const val SLOW_MAX_MS = 2_000L
        const val SMALL_BUFFER_BYTES = 16_384
        const val LARGE_ONE_IN = 10
        const val LARGE_MIN_BYTES = 200_000
        const val LARGE_MAX_BYTES = 600_000
        const val SMALL_MAX_BYTES = 2_000
        const val MIN_EVENTS = 5
        const val MAX_EVENTS = 30
        const val EVENT_MAX_MS = 40
        const val DELAY_MAX_MS = 250
        const val DEADLINE_MS = 8_000L
    }
}

/** Reads the answer to [call]. */
private class AnswerReader(
    private val socket: Socket,
    private val input: InputStream,
    private val call: SoakCall,
) {
    private val deadlineNanos = call.turnNanos + TimeUnit.MILLISECONDS.toNanos(DEADLINE_MS)
    private val received = StringBuilder()

    /** Reads; returns whether the connection can be used further. */
    fun read(): Boolean {
        val goesOn =
            runCatching { readWhole() }.getOrElse {
                call.detail = "${it.message}"
                call.end =
                    when (it) {
                        is SocketTimeoutException -> CallEnd.DEADLINE
                        is SocketException -> CallEnd.RESET
                        is IOException -> if (call.status == 0) CallEnd.CLOSED else CallEnd.CUT
                        else -> CallEnd.GARBLED
                    }
                false
            }
        call.body = received.toString()
        return goesOn
    }

    private fun readWhole(): Boolean {
        val head = readUntil("\r\n\r\n")
        check(head.startsWith("HTTP/1.1 ")) { "no status line: ${head.take(SHOWN)}" }
        call.status = head.split(' ')[1].toInt()
        call.answerId = ScriptedOrders.header(head, "attempt-id").orEmpty()
        val length = ScriptedOrders.header(head, "content-length")?.toInt()
        val chunked = ScriptedOrders.header(head, "transfer-encoding") == "chunked"
        when {
            chunked -> readChunks()
            length != null -> readBytes(length)
            else -> while (true) received.append(next(endIsError = false) ?: break)
        }
        call.end = CallEnd.ANSWERED
        val framed = chunked || length != null
        return framed && ScriptedOrders.header(head, "connection")?.lowercase() != "close"
    }

    private fun readChunks() {
        var size = readUntil("\r\n").trim().toInt(radix = 16)
        while (size > 0) {
            readBytes(size)
            readUntil("\r\n")
            size = readUntil("\r\n").trim().toInt(radix = 16)
        }
        readUntil("\r\n")
    }

    private fun readBytes(count: Int) {
        var left = count
        val block = ByteArray(BLOCK_BYTES)
        while (left > 0) {
            arm()
            val got = input.read(block, 0, minOf(left, block.size))
            if (got < 0) throw IOException("end inside a body, $left bytes missing")
            received.append(String(block, 0, got, Charsets.ISO_8859_1))
            left -= got
        }
    }

    private fun readUntil(end: String): String {
        val text = StringBuilder()
        while (!text.endsWith(end)) text.append(next(endIsError = true))
        return text.toString()
    }

    private fun next(endIsError: Boolean): Char? {
        arm()
        val byte = input.read()
        if (byte < 0 && endIsError) throw IOException("end of the connection")
        return if (byte < 0) null else byte.toChar()
    }

    private fun arm() {
        val leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime())
        if (leftMs <= 0) throw SocketTimeoutException("deadline")
        socket.soTimeout = leftMs.toInt()
    }

    private companion object {
        const val DEADLINE_MS = 8_500L
        const val BLOCK_BYTES = 32_768
        const val SHOWN = 40
    }
}
