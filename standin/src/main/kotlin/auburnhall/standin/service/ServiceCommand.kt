/*
 * A plain service that answers stock lookups and runs orders. It does not recognise a repeated order: whoever passes
 * one on twice runs it twice, and its history shows it.
 */
package auburnhall.standin.service

import auburnhall.engine.EngineProtocol
import auburnhall.http.HttpCaller
import auburnhall.http.HttpServer
import auburnhall.http.ServerSettings
import auburnhall.standin.ListEntry
import auburnhall.standin.StandinCommand
import auburnhall.standin.awaitEnd
import kotlinx.serialization.Serializable
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.kohsuke.args4j.Option
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport

/** Command line of the service stand-in. */
class ServiceOptions {
    @Option(name = "--instance", required = true, usage = "name of the instance")
    var instance = ""

    @Option(name = "--service", required = true, usage = "name of the service")
    var service = ""

    @Option(name = "--host", usage = "IP address to listen at")
    var host = "127.0.0.1"

    @Option(name = "--port", usage = "port to listen at; 0 for any")
    var port = 0

    @Option(name = "--data-centre", required = true, usage = "data centre of the instance")
    var dataCentre = ""

    @Option(name = "--platform", required = true, usage = "ip:port of the platform's HTTP service")
    var platform = ""
}

/** An order that ran. */
@Serializable
data class ServiceRun(
    val number: Int,
    val path: String,
    val idempotencyKey: String?,
    val body: String,
)

/** Faults to put on the next [orders] orders. */
@Serializable
data class ServiceFaults(
    val orders: Int = 1,
    /** Wait before the order runs. */
    val delayBeforeMillis: Long = 0,
    /** Wait between running the order and answering. */
    val delayAfterMillis: Long = 0,
    /** Break the connection after the order ran. */
    val dropAnswer: Boolean = false,
)

/** Runs one plain service until the process is ended. */
class ServiceCommand : StandinCommand {
    override val options = ServiceOptions()
    private val runs = ConcurrentLinkedQueue<ServiceRun>()
    private val count = AtomicInteger()
    private val faulty = AtomicInteger()
    private val received = AtomicInteger()

    @Volatile
    private var faults = ServiceFaults()

    override fun run() {
        val server = HttpServer(ServerSettings(options.host, options.port), ::handle)
        val address = "${options.host}:${server.port}"
        ListEntry(address, options.instance, "service", options.dataCentre, service = options.service)
            .register(HttpCaller(), options.platform)
        println("service ${options.instance} listens at $address")
        awaitEnd()
    }

    private fun handle(request: Request): Response =
        when {
            request.uri.path == "/history" -> json(EngineProtocol.json.encodeToString(runs.toList()))
            request.uri.path == "/live" -> json("""{"received":${received.get()}}""")
            request.uri.path == "/faults" -> fault(request)
            request.method == Method.GET -> json("""{"path":"${request.uri.path}","in_stock":42}""")
            else -> order(request)
        }

    private fun fault(request: Request): Response {
        faults = EngineProtocol.json.decodeFromString(ServiceFaults.serializer(), request.bodyString())
        faulty.set(faults.orders)
        return json("{}")
    }

    private fun order(request: Request): Response {
        val body = request.bodyString()
        received.incrementAndGet()
        val f = if (faulty.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0) faults else ServiceFaults()
        pause(f.delayBeforeMillis)
        val number = count.incrementAndGet()
        runs += ServiceRun(number, request.uri.path, request.header("Idempotency-Key"), body)
        pause(f.delayAfterMillis)
        if (f.dropAnswer) throw IOException("answer dropped by a scripted fault")
        return json(
            """{"order":$number,"instance":"${options.instance}","status":"confirmed"}""",
        ).status(Status.CREATED)
    }

    private fun pause(millis: Long) {
        val until = System.nanoTime() + millis * NANOS_PER_MILLI
        while (System.nanoTime() < until) LockSupport.parkNanos(until - System.nanoTime())
    }

    private fun json(text: String) = Response(Status.OK).header("Content-Type", "application/json").body(text)

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
