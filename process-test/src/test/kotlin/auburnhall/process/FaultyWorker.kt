/*
 * A worker of a plain service on raw sockets that behaves as the users' pages allow. What it does with a request
 * depends on the seed and the request's id alone. Paths are /ROUTE/DELAY_MS/SIZE, the bytes of the body or the events.
 */
package auburnhall.process

import auburnhall.standin.StandinPlatform
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** The worker [name] of [service]; [faultShare] of its answers are not sound. */
class FaultyWorker(
    private val platform: StandinPlatform,
    private val record: SoakRecord,
    private val service: String,
    private val name: String,
    private val faultShare: Double,
    private val dataCentre: String = StandinPlatform.DATA_CENTRES.first(),
) : AutoCloseable {
    private val threads = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
    private val attempts = ConcurrentHashMap<String, AtomicInteger>()
    private var life: Life? = null
    private var lives = 0

    /** Starts a new life with a new id and address. */
    @Synchronized
    fun start() {
        val next = Life("i-$name-${++lives}")
        life = next
        next.enter()
    }

    /** Ends the life at once: all connections are reset; the entry stays for [entryMs]. */
    @Synchronized
    fun kill(entryMs: Long) {
        life?.end(entryMs)
        life = null
    }

    /** Says in each answer that it leaves, and reports it. */
    fun leave() = report { leaving = true }

    /** Becomes cold again, and reports it. */
    fun makeCold() = report { cold.begin() }

    @Synchronized
    private fun report(change: Life.() -> Unit) {
        life?.change()
        life?.enter()
    }

    /** Removes the entry, or writes it again. */
    @Synchronized
    fun show(present: Boolean) {
        val current = life ?: return
        if (present) current.enter() else platform.scheduler.run { platform.store.remove(current.key) }
    }

    override fun close() {
        kill(0)
        threads.shutdownNow()
    }

    private inner class Life(
        val id: String,
    ) {
        val key = "servers/$id"

        @Volatile
        var leaving = false

        @Volatile
        var dead = false

        val cold = ColdTime()
        private val sockets = ConcurrentHashMap.newKeySet<Socket>()
        private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())

        init {
            record.lives.add(id to System.nanoTime())
            record.dataCentres[id] = dataCentre
            threads.execute {
                while (!listener.isClosed) {
                    val socket = runCatching { listener.accept() }.getOrNull() ?: break
                    sockets.add(socket)
                    threads.execute {
                        socket.use { runCatching { WorkerConnection(this, it).serve() } }
                        sockets.remove(socket)
                    }
                }
            }
        }

        fun enter() {
            val state = if (leaving) "draining" else "in_service"
            val entry =
                """{"service":"$service","address":"127.0.0.1:${listener.localPort}","zone":"$dataCentre","slots":100,
                    "state":"$state","born":${record.seed + lives},
                    "cold_remaining_ms":${cold.remainingMs}}"""
            platform.scheduler.run { platform.store.put(key, entry) }
        }

        fun end(entryMs: Long) {
            dead = true
            listener.close()
            sockets.forEach { runCatching { it.resetAndClose() } }
            platform.scheduler.after(entryMs) { platform.store.remove(key) }
        }
    }

    private inner class WorkerConnection(
        private val life: Life,
        private val socket: Socket,
    ) {
        private val input = socket.getInputStream().buffered()
        private val output = socket.getOutputStream()
        private var lateCopy: ByteArray? = null
        private var strayed = false

        fun serve() {
            var more = true
            while (more) {
                val head = ScriptedOrders.readHead(input) ?: return
                repeat(ScriptedOrders.header(head, "content-length")?.toInt() ?: 0) { input.read() }
                more = answer(SoakRequest(head))
            }
        }

        /** Answers one request; returns whether the connection goes on. */
        private fun answer(request: SoakRequest): Boolean {
            lateCopy?.let { output.write(it) }
            lateCopy = null
            val expected = ScriptedOrders.header(request.head, "expect-instance")
            return when {
                expected != null && expected != life.id -> turnAway(request, "421 Misdirected Request")
                request.route == null -> turnAway(request, "404 Not Found")
                else -> run(request)
            }
        }

        private fun run(request: SoakRequest): Boolean {
            record.checkHeaders(request)
            val run = record.begin(request.id, life.id, strayed)
            val attempt = attempts.computeIfAbsent(request.id) { AtomicInteger() }.incrementAndGet()
            val random = Random(record.seed * SEED_FACTOR + request.id.hashCode() + attempt + name.hashCode())
            val conduct = if (random.nextDouble() < faultShare) Conduct.entries.random(random) else Conduct.SOUND
            run.fault = conduct.name
            return runCatching { WorkerAnswer(this, request, run, random).give(conduct) }
                .onFailure {
                    if (run.end == RunEnd.RUNNING) run.end = if (life.dead) RunEnd.BROKEN_OFF else RunEnd.CALLER_LEFT
                }.getOrDefault(false) &&
                !life.dead
        }

        private fun turnAway(
            request: SoakRequest,
            status: String,
        ): Boolean {
            write(responseHead(status, request.id, "Not-Executed: 1\r\nContent-Length: 0"))
            return true
        }

        fun responseHead(
            status: String,
            id: String,
            framing: String,
        ): String {
            val idLine = if (id.isEmpty()) "" else "Attempt-Id: $id\r\n"
            val leaving = if (life.leaving) "Server-Leaving: 1\r\n" else ""
            return "HTTP/1.1 $status\r\nContent-Type: text/plain\r\n${idLine}Response-Stamp: ${life.id}\r\n" +
                "$leaving${life.cold.header}$framing\r\n\r\n"
        }

        fun write(text: String) = output.write(text.toByteArray(Charsets.ISO_8859_1))

        /** Sends [text] a second time: in part or whole, now or in front of the next answer. */
        fun repeatAnswer(
            text: String,
            random: Random,
        ) {
            strayed = true
            val copy = strayCopy(text, random)
            if (random.nextBoolean()) lateCopy = copy else output.write(copy)
        }

        fun reset() = socket.resetAndClose()

        /** Waits until the other end closes. */
        fun stall() {
            while (input.read() >= 0) Thread.onSpinWait()
        }

        val leaving get() = life.leaving
    }

    private inner class WorkerAnswer(
        private val connection: WorkerConnection,
        private val request: SoakRequest,
        private val run: SoakRun,
        private val random: Random,
    ) {
        fun give(conduct: Conduct): Boolean {
            if (conduct != Conduct.REFUSE) TimeUnit.MILLISECONDS.sleep(request.delayMs)
            return when (conduct) {
                Conduct.REFUSE -> refuse()
                Conduct.FAIL -> whole("500 Internal Server Error", "failed ${request.id}")
                Conduct.STALL -> stall()
                Conduct.RESET -> breakOff { connection.reset() }
                else -> if (request.route?.streaming == true) stream(conduct) else body(conduct)
            }
        }

        private fun refuse(): Boolean {
            run.end = RunEnd.REFUSED
            whole("503 Service Unavailable", "", "Not-Executed: 1\r\n")
            run.end = RunEnd.REFUSED
            if (random.nextBoolean()) connection.repeatAnswer(sent, random)
            return true
        }

        private var sent = ""

        private fun whole(
            status: String,
            body: String,
            extra: String = "",
        ): Boolean {
            run.status = status.take(STATUS_LENGTH).toInt()
            run.body = Digest.of(body)
            sent = connection.responseHead(status, request.id, "${extra}Content-Length: ${body.length}") + body
            connection.write(sent)
            run.end = RunEnd.WHOLE
            return true
        }

        private fun stall(): Boolean {
            run.end = RunEnd.STALLED
            connection.stall()
            return false
        }

        private fun breakOff(last: () -> Unit): Boolean {
            run.end = RunEnd.BROKEN_OFF
            last()
            return false
        }

        private fun body(conduct: Conduct): Boolean {
            val text = "${request.id}/${run.worker};".let { it.repeat(1 + request.size / it.length) }
            if (conduct == Conduct.BREAK_OFF) {
                run.status = OK
                val head = connection.responseHead("200 OK", request.id, "Content-Length: ${text.length}")
                return breakOff { connection.write((head + text).take(random.nextInt(head.length + text.length))) }
            }
            val closing = conduct == Conduct.CLOSE || connection.leaving
            whole("200 OK", text, if (closing) "Connection: close\r\n" else "")
            if (conduct == Conduct.COPY) connection.repeatAnswer(sent, random)
            return !closing
        }

        private fun stream(conduct: Conduct): Boolean {
            run.status = OK
            val chunked = conduct != Conduct.CLOSE
            val framing = if (chunked) "Transfer-Encoding: chunked" else "Connection: close"
            val head =
                connection
                    .responseHead("200 OK", request.id, framing)
                    .replace("text/plain", "text/event-stream")
            connection.write(head)
            val lastSound = if (conduct == Conduct.BREAK_OFF) random.nextInt(request.size) else request.size
            for (number in request.firstEvent..lastSound) {
                TimeUnit.MILLISECONDS.sleep(request.delayMs)
                val event = soakEvent(request.id, number)
                connection.write(if (chunked) chunk(event) else event)
                run.lastEvent = number
            }
            if (conduct == Conduct.BREAK_OFF) {
                val part = chunk("id: ${lastSound + 1}\nda")
                return breakOff { connection.write(if (random.nextBoolean()) part else part.dropLast(3)) }
            }
            if (chunked) connection.write(END)
            run.end = RunEnd.WHOLE
            if (conduct == Conduct.COPY) connection.repeatAnswer("$head${chunk(soakEvent(request.id, 1))}$END", random)
            return chunked
        }
    }

    private companion object {
        const val BACKLOG = 200
        const val SEED_FACTOR = 7919
        const val STATUS_LENGTH = 3
        const val OK = 200
        const val END = "0\r\n\r\n"
    }
}
