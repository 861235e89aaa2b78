package auburnhall.gateway

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.Customer
import auburnhall.core.EngineProfile
import auburnhall.core.Fleet
import auburnhall.core.MemberState
import auburnhall.core.Membership
import auburnhall.core.Model
import auburnhall.core.Replica
import auburnhall.core.RequestKind
import auburnhall.core.Route
import auburnhall.core.Service
import auburnhall.core.WeightedService
import auburnhall.core.Worker
import auburnhall.http.EventLoopScheduler
import auburnhall.http.HttpClient
import auburnhall.http.HttpServer
import auburnhall.http.newEventLoop
import auburnhall.http.newHeaders
import auburnhall.routing.AdmissionPolicy
import auburnhall.routing.LoadTracker
import auburnhall.routing.ReplicaFailureDetector
import auburnhall.routing.RetryBounds
import auburnhall.routing.Router
import auburnhall.routing.TargetHealth
import auburnhall.routing.TargetTable
import auburnhall.test.RecordingListener
import io.netty.handler.codec.http.HttpHeaders
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.random.Random

class GatewayTest {
    private val loop = newEventLoop("gateway-test")
    private val scheduler = EventLoopScheduler(loop)
    private val events = RecordingListener()
    private val load = LoadTracker(Clock.SYSTEM)
    private val health = TargetHealth(Clock.SYSTEM)
    private val client = HttpClient(loop, Clock.SYSTEM)
    private val context: GatewayContext =
        GatewayContext(
            GatewayRuntime(Clock.SYSTEM, scheduler, client),
            GatewayCodecs(TestCallerCodec, TestWorkerCodec),
            GatewayRouting(
                Router(load, health, "z", Random(1)) { true },
                load,
                health,
                ReplicaFailureDetector(Clock.SYSTEM),
                AdmissionPolicy { 0.0 },
            ),
            GatewayObservers(events, GatewayMetrics.NONE) { },
            RetryBudgets(Clock.SYSTEM, { RetryBounds(1.0, 10_000, 100) }, { 1 }),
        )
    private val gateway = Gateway(context, FilterChain({ context.state.configuration }, Random(1)))
    private val server = HttpServer(loop, Clock.SYSTEM, { CallerLimits.DEFAULT }, gateway)
    private val port =
        (
            server
                .bind(Address("127.0.0.1", 0))
                .sync()
                .channel()
                .localAddress() as InetSocketAddress
        ).port
    private val workers = ArrayList<ScriptedWorker>()

    @AfterEach
    fun close() {
        workers.forEach { it.close() }
        loop.parent().shutdownGracefully()
    }

    private fun worker(vararg scripts: Script) = ScriptedWorker(*scripts).also(workers::add)

    private fun serve(vararg targets: ScriptedWorker) {
        val listed = targets.mapIndexed { index, of -> entry("i-$index", of.port) }
        val plain = listed.map { it.copy(service = "plain", membership = null) }
        val state =
            GatewayState(
                CONFIGURATION,
                TargetTable(
                    Fleet(1, listed + plain),
                    CONFIGURATION.services.values,
                    mapOf("model" to listed.map(::replica)),
                ),
            )
        loop.submit { gateway.update(state) }.sync()
    }

    private fun replica(head: Worker) = Replica(checkNotNull(head.membership).replica, 1, "m", listOf(head))

    private fun entry(
        id: String,
        port: Int,
    ) = Worker(
        id,
        "model",
        Address("127.0.0.1", port),
        "z",
        4,
        false,
        1,
        "d",
        emptyList(),
        emptyList(),
        Membership("m/$id", 1, 0, MemberState.OPEN),
    )

    private fun call(
        path: String,
        extra: String = "",
        method: String = "GET",
    ): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = TIMEOUT_MS
            socket.getOutputStream().write(
                "$method $path HTTP/1.1\r\nHost: h\r\nid: q1\r\nkey: k\r\nmodel: m\r\n$extra\r\n".toByteArray(),
            )
            socket.getOutputStream().flush()
            readAnswer(socket)
        }

    /** Reads until the connection ends or an answer is complete. */
    private fun readAnswer(socket: Socket): String {
        val text = StringBuilder()
        val input = socket.getInputStream()
        while (!complete(text)) {
            val next = runCatching { input.read() }.getOrDefault(-1)
            if (next < 0) break
            text.append(next.toChar())
        }
        return text.toString()
    }

    private fun complete(text: StringBuilder): Boolean {
        val end = text.indexOf("\r\n\r\n")
        if (end < 0) return false
        val length =
            Regex("content-length: (\\d+)")
                .find(text)
                ?.groupValues
                ?.get(1)
                ?.toInt()
        return if (length != null) text.length >= end + BLANK_LINE + length else text.endsWith("0\r\n\r\n")
    }

    private fun whole(
        body: String,
        status: String = "200 OK",
        id: String = "q1",
        stamp: String = "stamp: s\r\n",
    ) = "HTTP/1.1 $status\r\nid: $id\r\n${stamp}content-length: ${body.length}\r\n\r\n$body"

    private fun stream(vararg ids: Int) =
        "HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\ncontent-type: text/event-stream\r\n" +
            "transfer-encoding: chunked\r\n\r\n" +
            ids.joinToString("") { chunk("id: $it\ndata: e$it\n\n") }

    private fun chunk(text: String) = "${text.length.toString(radix = 16)}\r\n$text\r\n"

    private val end = "0\r\n\r\n"

    private fun eventIds(answer: String) =
        Regex("id: (\\d+)\n").findAll(answer).map { it.groupValues[1].toInt() }.toList()

    @Test
    fun `an answer is passed on with status, stamp and body`() {
        serve(worker(Script.Send(whole("hello"))))
        val answer = call("/safe/x")
        assertTrue(answer.startsWith("HTTP/1.1 200"))
        assertTrue(answer.contains("stamp: s") && answer.endsWith("hello"))
    }

    @Test
    fun `a stream that breaks in the middle of an event goes on at another worker, each event once`() {
        val cut = stream(1, 2) + "f\r\nid: 3\nda"
        val first = worker(Script.Reset(cut), Script.Send(stream(3, 4) + end))
        val second = worker(Script.Reset(cut), Script.Send(stream(3, 4) + end))
        serve(first, second)
        // Whichever worker is chosen first breaks off; the other one is told after which event to go on.
        val answer = call("/stream/x")
        val resumed = (first.requests + second.requests).filter { it.contains("after: 2") }
        assertEquals(1, resumed.size)
        assertEquals(listOf(1, 2), eventIds(answer).take(2))
        assertEquals(eventIds(answer).distinct(), eventIds(answer))
    }

    @Test
    fun `events that a second worker repeats are left out`() {
        val scripts = arrayOf<Script>(Script.Reset(stream(1, 2)))
        val breaking = worker(*scripts)
        val going = worker(Script.Send(stream(2, 3) + end))
        serve(breaking, going)
        val answer = call("/stream/x")
        if (breaking.requests.isNotEmpty()) {
            assertEquals(listOf(1, 2, 3), eventIds(answer))
        } else {
            assertEquals(listOf(2, 3), eventIds(answer))
        }
    }

    @Test
    fun `a stream that cannot go on never looks complete`() {
        serve(worker(Script.Reset(stream(1))))
        val answer = call("/stream/x")
        assertFalse(answer.endsWith(end))
    }

    @Test
    fun `work that must not be repeated is sent once, and a lost answer promises nothing`() {
        val only = worker(Script.Reset(""), Script.Send(whole("again")))
        serve(only)
        assertTrue(call("/unsafe/x", method = "POST").startsWith("HTTP/1.1 502"))
        assertEquals(1, only.requests.size)
    }

    @Test
    fun `a worker that did not run it lets the caller come back`() {
        serve(worker(Script.Send("HTTP/1.1 503 Busy\r\nid: q1\r\nnotrun: 1\r\ncontent-length: 0\r\n\r\n")))
        val answer = call("/unsafe/x", method = "POST")
        assertTrue(answer.startsWith("HTTP/1.1 503") && answer.contains("again-in-ms:"), answer)
    }

    @Test
    fun `an unsigned success is no answer`() {
        serve(worker(Script.Send(whole("forged", stamp = ""))))
        assertTrue(call("/unsafe/x", method = "POST").startsWith("HTTP/1.1 502"))
    }

    @Test
    fun `a late answer to another request is not given to this one`() {
        serve(worker(Script.Send(whole("other", id = "q0") + whole("mine"))))
        assertTrue(call("/safe/x").endsWith("mine"))
    }

    @Test
    fun `an answer with surplus bytes leaves nothing for the next request`() {
        val noisy = worker(Script.Send(whole("one") + whole("surplus")), Script.Send(whole("two")))
        serve(noisy)
        assertTrue(call("/safe/x").endsWith("one"))
        assertTrue(call("/safe/x").endsWith("two"))
    }

    @Test
    fun `a caller that leaves ends the work at the worker`() {
        val silent = worker(Script.Silence)
        serve(silent)
        Socket("127.0.0.1", port).use { socket ->
            socket.getOutputStream().write("GET /safe/x HTTP/1.1\r\nHost: h\r\nid: q1\r\nkey: k\r\n\r\n".toByteArray())
            socket.getOutputStream().flush()
            while (silent.requests.isEmpty()) Thread.onSpinWait()
        }
        assertTrue(silent.awaitClose())
    }

    @Test
    fun `time that is over is answered without a claim that what was sent did not run`() {
        serve(worker(Script.Silence))
        assertTrue(call("/safe/x", "left: 80\r\n").startsWith("HTTP/1.1 504"))
    }

    @Test
    fun `unknown keys and routes are refused`() {
        serve(worker())
        assertTrue(call("/nowhere/x").startsWith("HTTP/1.1 404"))
        assertTrue(call("/safe/x", "key: wrong\r\n").startsWith("HTTP/1.1 401"))
    }

    @Test
    fun `a request whose length is stated twice is refused`() {
        serve(worker())
        assertTrue(
            call("/safe/x", "content-length: 3\r\ntransfer-encoding: chunked\r\n", "POST").startsWith("HTTP/1.1 400"),
        )
    }

    private companion object {
        const val TIMEOUT_MS = 20_000
        const val BLANK_LINE = 4
        val ENGINE = EngineProfile(4, listOf(Model("m", 1, 1.0, 1.0, 1, 1)), 0, 1.0, 1, 1, 1.0, 1, 1.0)

        fun route(
            name: String,
            service: String,
            kind: RequestKind,
            attempts: Int,
        ) = Route(
            name,
            "h",
            "/$name/",
            kind,
            timeoutMs = 10_000,
            targetLatencyMs = 400,
            priority = 1,
            services = listOf(WeightedService(service, 1)),
            maxAttempts = attempts,
            anonymous = false,
            resumable = kind == RequestKind.STREAMING,
            targetEventGapMs = null,
        )

        val CONFIGURATION =
            Configuration(
                1,
                listOf(
                    route("safe", "plain", RequestKind.IDEMPOTENT, 1),
                    route("unsafe", "plain", RequestKind.NON_IDEMPOTENT, 1),
                    route("stream", "model", RequestKind.STREAMING, 2),
                ),
                listOf(Service("plain", 9, null), Service("model", 9, ENGINE)),
                listOf(Customer("c", listOf("k"), null)),
                CallerLimits.DEFAULT,
            )
    }
}

private object TestCallerCodec : CallerCodec {
    override fun read(headers: HttpHeaders) =
        CallerRequestMetadata(
            headers.get("id"),
            headers.get("left")?.toLong(),
            headers.getAll("key").lastOrNull(),
            headers.get("model"),
            0,
            null,
        )

    override fun refusalHeaders(
        id: String?,
        retryAfterMs: Long?,
    ): HttpHeaders = newHeaders().apply { retryAfterMs?.let { set("again-in-ms", it.toString()) } }
}

private object TestWorkerCodec : WorkerCodec {
    override val idHeader = "id"

    override fun requestHeaders(
        caller: HttpHeaders,
        metadata: WorkerRequestMetadata,
    ): HttpHeaders = caller.copy().apply { metadata.resumeAfterEventId?.let { set("after", it) } }

    override fun read(
        status: Int,
        headers: HttpHeaders,
    ) = WorkerResponseHead(
        status,
        headers.contains("notrun"),
        headers.contains("stamp"),
        headers.get("content-type") == "text/event-stream",
        null,
    )
}
