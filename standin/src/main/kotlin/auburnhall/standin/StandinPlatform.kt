/*
 * A small platform on loopback: the store with a configuration, model workers in two fabric domains, and a plain
 * worker.
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
import java.net.InetSocketAddress

/** Starts everything on one thread. */
class StandinPlatform {
    private val loop = newEventLoop("standin")
    private val places =
        listOf("d1", "d2").flatMap { d -> (1..PER_DOMAIN).map { WorkerPlace("i-$d-$it", "engine", d) } } +
            WorkerPlace("i-orders", "orders", null)
    private var births = 1L

    /** The platform's thread. */
    val scheduler: Scheduler = EventLoopScheduler(loop)

    /** The store. */
    val store = StandinStore(scheduler)

    /** All workers. */
    val workers = places.map { StandinWorker(it, this) }

    /** Where the store listens. */
    val storePort: Int = bind(store)

    /** Where the stand-in takes orders of its own, such as `POST /kill?ID`. */
    val controlPort: Int = bind(::onControl)

    private val ports = workers.associateWith { bind(it) }

    init {
        loop
            .submit {
                workers.forEach { it.register("127.0.0.1:${ports.getValue(it)}") }
                store.put("op/config", CONFIGURATION)
            }.sync()
    }

    internal fun nextBirth(): Long = births++

    internal fun isAlive(id: String): Boolean = workers.any { it.place.id == id && it.alive }

    /** Kills the worker [id]. */
    fun kill(id: String) = scheduler.run { workers.first { it.place.id == id }.kill() }

    private fun onControl(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val id = request.uri.substringAfter('?', "")
        val worker = workers.firstOrNull { it.place.id == id }
        if (request.path == "/kill") worker?.kill()
        val text = workers.joinToString("\n", postfix = "\n") { "${it.place.id} alive=${it.alive} runs=${it.runs}" }
        response.send(OK, newHeaders(), text.toByteArray())
    }

    private fun bind(handler: RequestHandler): Int {
        val server = HttpServer(loop, Clock.SYSTEM, { CallerLimits.DEFAULT }, handler)
        val channel = server.bind(Address("127.0.0.1", 0)).sync().channel()
        return (channel.localAddress() as InetSocketAddress).port
    }

    companion object {
        private const val PER_DOMAIN = 4
        private const val OK = 200

        /** The configuration that the operator wrote. */
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
