/*
 * The command that runs the platform stand-in: key-value service, instance list and weight store in one process.
 */
package auburnhall.standin.platform

import auburnhall.core.Clock
import auburnhall.http.HttpServer
import auburnhall.http.ServerSettings
import org.kohsuke.args4j.Option
import org.tinylog.kotlin.Logger
import java.util.concurrent.CountDownLatch

/** Options of the platform stand-in. */
class PlatformCommand {
    @Option(name = "--host", metaVar = "IP", usage = "address to listen on")
    var host: String = "127.0.0.1"

    @Option(name = "--kv-port", metaVar = "PORT", usage = "gRPC port of the key-value service; 0 for any")
    var kvPort: Int = DEFAULT_KV_PORT

    @Option(name = "--http-port", metaVar = "PORT", usage = "HTTP port of the list, weights and faults; 0 for any")
    var httpPort: Int = DEFAULT_HTTP_PORT

    @Option(name = "--list-lag-ms", metaVar = "MS", usage = "time after which a change shows in the instance list")
    var listLagMillis: Long = DEFAULT_LAG_MILLIS

    @Option(name = "--weights-bytes-per-second", metaVar = "BYTES", usage = "rate shared by all reads of weights")
    var weightsBytesPerSecond: Long = DEFAULT_WEIGHT_RATE

    @Option(name = "--kv-calls-per-second", metaVar = "CALLS", usage = "key-value calls above this rate are refused")
    var kvCallsPerSecond: Int = 0

    @Option(name = "--probe-ms", metaVar = "MS", usage = "time between two probes of an instance")
    var probeMillis: Long = DEFAULT_PROBE_MILLIS

    /** Runs until the process is ended. */
    fun run() {
        start().use {
            println("platform listens at $host:${it.kvPort} and $host:${it.httpPort}")
            CountDownLatch(1).await()
        }
    }

    /** Starts the stand-in and returns it. */
    fun start(): Platform = Platform(this)

    private companion object {
        const val DEFAULT_KV_PORT = 2379
        const val DEFAULT_HTTP_PORT = 2380
        const val DEFAULT_LAG_MILLIS = 3_000L
        const val DEFAULT_WEIGHT_RATE = 200_000_000L
        const val DEFAULT_PROBE_MILLIS = 1_000L
    }
}

/** A platform stand-in that is running. */
class Platform(
    command: PlatformCommand,
) : AutoCloseable {
    private val clock = Clock()
    private val gate = FaultGate(clock, command.kvCallsPerSecond)
    private val state = KeyValueState()
    private val leases = LeaseTable(clock, state)
    private val store = KeyValueServer(command.host, command.kvPort, state, leases, gate)
    private val instances = InstanceList(clock, command.listLagMillis)
    private val prober = InstanceProber(instances, command.probeMillis)
    private val weights = WeightStore(command.weightsBytesPerSecond)
    private val http =
        HttpServer(
            ServerSettings(command.host, command.httpPort),
            PlatformHttp(instances, weights, store).handler(),
        )

    /** gRPC port of the key-value service. */
    val kvPort: Int = store.port

    /** HTTP port of everything else. */
    val httpPort: Int = http.port

    init {
        Logger.info { "platform stand-in: key-value service on port $kvPort, HTTP on port $httpPort" }
    }

    override fun close() {
        prober.close()
        http.close()
        store.close()
    }
}
