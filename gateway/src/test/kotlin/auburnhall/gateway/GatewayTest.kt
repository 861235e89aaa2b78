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
        val listed = targets.mapIndexed { index, of -> workerEntry("i-$index", of.port) }
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

    private fun workerEntry(
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
        extraHeaders: String = "",
        method: String = "GET",
    ): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = SOCKET_TIMEOUT_MS
            socket.getOutputStream().write(
                "$method $path HTTP/1.1\r\nHost: h\r\nid: q1\r\nkey: k\r\nmodel: m\r\n$extraHeaders\r\n".toByteArray(),
            )
            socket.getOutputStream().flush()
            readResponse(socket)
        }

    /** Reads until the connection is closed or a response is complete. */
    private fun readResponse(socket: Socket): String {
        val text = StringBuilder()
        val input = socket.getInputStream()
        while (!isComplete(text)) {
            val next = runCatching { input.read() }.getOrDefault(-1)
            if (next < 0) break
            text.append(next.toChar())
        }
        return text.toString()
    }

    private fun isComplete(text: StringBuilder): Boolean {
        val headEnd = text.indexOf("\r\n\r\n")
        if (headEnd < 0) return false
        val length =
            Regex("content-length: (\\d+)")
                .find(text)
                ?.groupValues
                ?.get(1)
                ?.toInt()
        return if (length != null) text.length >= headEnd + BLANK_LINE_BYTES + length else text.endsWith("0\r\n\r\n")
    }

    private fun full(
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

    private val lastChunk = "0\r\n\r\n"

    private fun eventIds(response: String) =
        Regex("id: (\\d+)\n").findAll(response).map { it.groupValues[1].toInt() }.toList()

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
    fun `a stream that cannot be resumed is not ended as if it were complete`() {
        serve(worker(Script.Reset(stream(1))))
        val response = call("/stream/x")
        assertFalse(response.endsWith(lastChunk))
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

    private companion object {
        const val SOCKET_TIMEOUT_MS = 20_000
        const val BLANK_LINE_BYTES = 4
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
