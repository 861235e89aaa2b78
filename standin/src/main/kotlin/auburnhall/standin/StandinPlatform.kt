/*
 * A small stand-in for the platform on loopback, for tests and the demo: the store with a configuration, model workers
 * in two fabric domains, each in a data centre of its own, and a worker of a plain service.
 */
package auburnhall.standin

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import auburnhall.core.Scheduler
import auburnhall.http.EventLoopScheduler
import auburnhall.http.HttpServer
import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter
import auburnhall.http.newEventLoop
import auburnhall.http.newHeaders
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** Runs the store and all workers on one event loop thread. */
class StandinPlatform {
    private val loop = newEventLoop("standin")
    private val identities =
        listOf("d1", "d2").zip(DATA_CENTRES).flatMap { (domain, dataCentre) ->
            (1..WORKERS_PER_DOMAIN).map { WorkerIdentity("i-$domain-$it", "engine", domain, dataCentre) }
        } + WorkerIdentity("i-orders", "orders", null)
    private var nextStartNumber = 1L

    /** Part of a prompt that crashes each worker that begins to respond to it; null for none. */
    @Volatile
    var crashingPart: String? = null

    /** Number of requests with [crashingPart] that began at a worker. */
    val crashes = AtomicInteger()

    /** Requests per second that the worker of the plain service states that it takes; null for no statement. */
    @Volatile
    var ordersPerSecond: Double? = null

    /** When requests arrived at the worker of the plain service, in milliseconds of the monotonic clock. */
    val orderTimesMs = CopyOnWriteArrayList<Long>()

    /** The requests that reached a worker; orders and reports do not count. */
    val arrivals = CopyOnWriteArrayList<Arrival>()

    /** What the streams of the model workers send. */
    @Volatile
    var streamScript: StreamScript = StreamScript()

    /** The scheduler of the event loop. */
    val scheduler: Scheduler = EventLoopScheduler(loop)

    /** The key-value store. */
    val store = StandinStore(scheduler)

    /** The model workers, then the worker of the plain service. */
    val workers = identities.map { StandinWorker(it, this) }

    /** The port of the store. */
    val storePort: Int = bind(store)

    /** The port of the control endpoint: any request lists the workers; `/kill?ID` first kills a worker. */
    val controlPort: Int = bind(::onControlRequest)

    private val workerPorts = workers.associateWith { bind(it) }

    init {
        loop
            .submit {
                workers.forEach { it.address = "127.0.0.1:${workerPorts.getValue(it)}" }
                store.put("op/config", CONFIGURATION)
            }.sync()
    }

    internal fun takeStartNumber(): Long = nextStartNumber++

    /** A request reached a worker in [dataCentre]. */
    internal fun onArrival(dataCentre: String) {
        arrivals.add(Arrival(Clock.SYSTEM.nowMs(), dataCentre))
    }

    internal fun isAlive(id: String): Boolean = workers.any { it.identity.id == id && it.alive }

    /** Whether a prompt with the parts [prefix] crashes the worker that begins to respond; counts it. */
    internal fun crashesAt(prefix: String): Boolean {
        val found = crashingPart?.let { part -> prefix.split(',').any { it.startsWith("$part:") } } == true
        if (found) crashes.incrementAndGet()
        return found
    }

    /** Kills the worker with [id]. */
    fun kill(id: String) = scheduler.run { workers.first { it.identity.id == id }.kill() }

    /** Starts the worker with [id] again, under the same id and without its membership. */
    fun restart(id: String) = scheduler.run { workers.first { it.identity.id == id }.crash() }

    /** Makes the worker with [id] cold for [durationMs]; its entry and its responses say so. */
    fun makeCold(
        id: String,
        durationMs: Long,
    ) = scheduler.run { workers.first { it.identity.id == id }.coldUntilMs = Clock.SYSTEM.nowMs() + durationMs }

    /** Asks that nothing more is sent to the workers in [dataCentre]; calls [onWritten] after that. */
    fun evacuate(
        dataCentre: String,
        onWritten: () -> Unit = { },
    ) = scheduler.run {
        store.put("op/evacuate/$dataCentre", "{}")
        onWritten()
    }

    /** Takes the evacuation of [dataCentre] back. */
    fun endEvacuation(dataCentre: String) = scheduler.run { store.remove("op/evacuate/$dataCentre") }

    private fun onControlRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val id = request.uri.substringAfter('?', "")
        val worker = workers.firstOrNull { it.identity.id == id }
        if (request.path == "/kill") worker?.kill()
        val text =
            workers.joinToString("\n", postfix = "\n") { "${it.identity.id} alive=${it.alive} runs=${it.executions}" }
        response.send(OK_STATUS, newHeaders(), text.toByteArray())
    }

    private fun bind(handler: RequestHandler): Int {
        val server = HttpServer(loop, Clock.SYSTEM, { CallerLimits.DEFAULT }, handler)
        server.bind(Address("127.0.0.1", 0)).sync()
        return server.port
    }

    companion object {
        /** The data centres of the workers;. */
        val DATA_CENTRES = listOf("z1", "z2")
        private const val WORKERS_PER_DOMAIN = 4
        private const val OK_STATUS = 200

        /** The initial configuration, as operators write it to the store. */
        const val CONFIGURATION = """{"version":1,"routes":[
            {"name":"chat","host":"chat.example","prefix":"/chat/","kind":"streaming","timeout_ms":10000,
             "target_latency_ms":400,"priority":1,"service":"engine","max_attempts":2,"anonymous":false,
             "stream_resume":true,"gap_target_ms":250},
            {"name":"orders","host":"chat.example","prefix":"/orders/","kind":"non_idempotent","timeout_ms":2000,
             "target_latency_ms":200,"priority":2,"service":"orders","max_attempts":1,"anonymous":false}],
            "services":[{"name":"engine","max_connections":100,"engine":{"slots":8,"models":[
             {"name":"assistant","size":2,"share":1.0,"pace":1.0,"load_s":0.1,"warm_s":0.1}],"report_lag_ms":50,
             "loads_per_s":50,"loads_at_once":50,"form_ms":0,"step_ms":1,"stride":1,"read_per_s":100000}},
             {"name":"orders","max_connections":100}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
            "tenants":[{"name":"shop","api_keys":["demo-key"],"priority":1}]}"""
    }
}
