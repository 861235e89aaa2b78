/*
 * Starts the real program as a process of its own.
 */
package auburnhall.process

import java.net.HttpURLConnection
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** One entry process before the store at [storePort]. */
class EntryProcess(
    name: String,
    storePort: Int,
    dir: Path,
) : AutoCloseable {
    private val free = List(PORTS) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }
    private val settings = dir.resolve("$name.json")

    /** Where callers connect. */
    val port: Int = free[0]
    private val readiness = free[1]

    /** What it has written so far. */
    val log: Path = dir.resolve("$name.log")
    private val process: Process

    init {
        Files.writeString(settings, settingsText(name, storePort))
        val builder =
            ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-jar",
                JAR.toString(),
                "--metrics-port",
                "0",
            )
        builder.environment()["AUBURNHALL_BOOT"] = settings.toString()
        builder.redirectErrorStream(true).redirectOutput(log.toFile())
        process = builder.start()
    }

    /** Waits until the balancer would send callers here. */
    fun awaitReady() = await("ready") { get("http://127.0.0.1:$readiness/auburnhall/readiness") == OK }

    /** Waits until the log holds an event of this name, [times] times. */
    fun awaitEvent(
        event: String,
        times: Int = 1,
    ) = await(event) { Files.readString(log).split("\"event\":\"$event\"").size > times }

    /** Asks the process to stop. */
    fun terminate() = process.destroy()

    /** Waits for its end; its exit code. */
    fun awaitExit(): Int {
        check(process.waitFor(WAIT_S, TimeUnit.SECONDS)) { "the process did not end" }
        return process.exitValue()
    }

    override fun close() {
        process.destroyForcibly()
    }

    private fun await(
        what: String,
        holds: () -> Boolean,
    ) {
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S)
        while (!holds()) {
            check(System.nanoTime() < until) { "gave up waiting for $what; log:\n${Files.readString(log)}" }
            process.waitFor(POLL_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun get(uri: String): Int =
        runCatching { (URI(uri).toURL().openConnection() as HttpURLConnection).responseCode }.getOrDefault(0)

    private fun settingsText(
        name: String,
        storePort: Int,
    ) = """{"node_name":"$name","ip":"127.0.0.1","zone":"z1",
        "listen":{"front":"127.0.0.1:$port","ready":"127.0.0.1:$readiness"},
        "internal_ports":[${free[2]},${free[2]}],"bootstrap":true,"bounds":{"grace_s":8,"retry_budget_ratio":0.2,
        "budget_window_s":10,"retry_budget_extra":100},
        "platform":{"address":"127.0.0.1:$storePort","ttl_min_ms":1000}}"""

    private companion object {
        const val OK = 200
        const val PORTS = 3
        const val WAIT_S = 60L
        const val POLL_MS = 50L
        val JAR: Path = Path.of("..", "target", "auburnhall.jar").toAbsolutePath().normalize()
    }
}
