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
import auburnhall.routing.PartGuard
import auburnhall.routing.PartGuardRuntime
import auburnhall.routing.PartVerdicts
import auburnhall.routing.PromptPart
import auburnhall.routing.ReplicaFailureDetector
import auburnhall.routing.RetryBounds
import auburnhall.routing.Router
import auburnhall.routing.TargetHealth
import auburnhall.routing.TargetTable
import auburnhall.routing.UnreportedRequests
import auburnhall.routing.WorkerLimits
import auburnhall.routing.WorkerNotices
import auburnhall.routing.WorkerReachability
import auburnhall.test.RecordingListener
import io.netty.handler.codec.http.HttpHeaders
import org.junit.jupiter.api.AfterEach
import java.net.Socket
import kotlin.random.Random

/** A gateway on loopback with scripted workers, and a caller that returns the bytes of each response. */
abstract class GatewayFixture {
    protected val loop = newEventLoop("gateway-test")
    protected val scheduler = EventLoopScheduler(loop)
    protected val events = RecordingListener()
    protected val load = LoadTracker(Clock.SYSTEM)
    private val unreported = UnreportedRequests { 1 }
    protected val health = TargetHealth(Clock.SYSTEM)
    protected val client = HttpClient(loop, Clock.SYSTEM)
    protected val reachability = WorkerReachability(Clock.SYSTEM, scheduler, events)
    private val self = Helper("self", Address("127.0.0.1", 0), "z")
    protected val helpers = Helpers(Clock.SYSTEM, Random(1), self, HttpClient(loop, Clock.SYSTEM))
    protected val verdicts = PartVerdicts(PartGuardRuntime(Clock.SYSTEM, scheduler) { 0.0 }, events)
    protected val parts = PartGuard(Clock.SYSTEM, verdicts, events)
    protected val context: GatewayContext =
        GatewayContext(
            GatewayRuntime(Clock.SYSTEM, scheduler, client, reachability, helpers),
            GatewayCodecs(TestCallerCodec, TestWorkerCodec),
            GatewayRouting(
                Router(load, health, "z", Random(1), unreported) { true },
                load,
                unreported,
                health,
                ReplicaFailureDetector(Clock.SYSTEM),
                AdmissionPolicy { 0.0 },
            ),
            GatewayObservers(events, GatewayMetrics.NONE) { },
            RetryBudgets(Clock.SYSTEM, { RetryBounds(1.0, 10_000, 100) }, { 1 }),
            GatewayGuards(parts, WorkerLimits(Clock.SYSTEM, { 1.0 }) { 0.0 }, WorkerNotices(Clock.SYSTEM, events)),
        )
    protected val gateway = Gateway(context, FilterChain({ context.state.configuration }, Random(1)))
    protected val server = HttpServer(loop, Clock.SYSTEM, { CallerLimits.DEFAULT }, gateway)
    protected val port: Int get() = server.port

    init {
        server.bind(Address("127.0.0.1", 0)).sync()
    }

    protected val workers = ArrayList<ScriptedWorker>()

    @AfterEach
    fun close() {
        workers.forEach { it.close() }
        loop.parent().shutdownGracefully()
    }

    protected fun worker(vararg scripts: Script) = ScriptedWorker(*scripts).also(workers::add)

    protected fun serve(vararg targets: ScriptedWorker) {
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

    protected fun replica(head: Worker) = Replica(checkNotNull(head.membership).replica, 1, "m", listOf(head))

    protected fun workerEntry(
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

    protected fun call(
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
    protected fun readResponse(socket: Socket): String {
        val text = StringBuilder()
        val input = socket.getInputStream()
        while (!isComplete(text)) {
            val next = runCatching { input.read() }.getOrDefault(-1)
            if (next < 0) break
            text.append(next.toChar())
        }
        return text.toString()
    }

    protected fun isComplete(text: StringBuilder): Boolean {
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

    protected fun full(
        body: String,
        status: String = "200 OK",
        id: String = "q1",
        stamp: String = "stamp: s\r\n",
    ) = "HTTP/1.1 $status\r\nid: $id\r\n${stamp}content-length: ${body.length}\r\n\r\n$body"

    protected fun stream(vararg ids: Int) =
        "HTTP/1.1 200 OK\r\nid: q1\r\nstamp: s\r\ncontent-type: text/event-stream\r\n" +
            "transfer-encoding: chunked\r\n\r\n" +
            ids.joinToString("") { chunk("id: $it\ndata: e$it\n\n") }

    protected fun chunk(text: String) = "${text.length.toString(radix = 16)}\r\n$text\r\n"

    protected val lastChunk = "0\r\n\r\n"

    protected fun eventIds(response: String) =
        Regex("id: (\\d+)\n").findAll(response).map { it.groupValues[1].toInt() }.toList()

    protected companion object {
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
                    route("unsafe-3", "plain", RequestKind.NON_IDEMPOTENT, 3),
                    route("stream", "model", RequestKind.STREAMING, 2),
                    route("stream-3", "model", RequestKind.STREAMING, 3),
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
            headers.get("last"),
            headers
                .get("parts")
                ?.split(',')
                .orEmpty()
                .map(::PromptPart),
        )

    override fun refusalHeaders(
        id: String?,
        retryAfterMs: Long?,
    ): HttpHeaders =
        newHeaders().apply {
            id?.let { set("id", it) }
            retryAfterMs?.let { set("again-in-ms", it.toString()) }
        }
}

private object TestWorkerCodec : WorkerCodec {
    override val idHeader = "id"

    override fun requestHeaders(
        caller: HttpHeaders,
        metadata: WorkerRequestMetadata,
    ): HttpHeaders = caller.copy().apply { metadata.resumeAfterEventId?.let { set("after", it) } }

    override fun passedOnHeaders(
        caller: HttpHeaders,
        timeLeftMs: Long,
        resumeAfterEventId: String?,
    ): HttpHeaders =
        caller.copy().apply {
            set("left", timeLeftMs.toString())
            resumeAfterEventId?.let { set("last", it) }
        }

    override fun read(
        status: Int,
        headers: HttpHeaders,
        workerId: String,
    ) = WorkerResponseHead(
        status,
        headers.contains("notrun"),
        headers.contains("stamp") && !headers.contains("content-encoding"),
        headers.get("content-type") == "text/event-stream",
        null,
        leaving = headers.contains("leaving"),
        pauseMs = headers.get("pause-ms")?.toLong(),
    )
}
