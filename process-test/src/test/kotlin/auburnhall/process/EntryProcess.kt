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

/** One entry process before the store at [storePort]; several that are to know each other share [peerPort]. */
class EntryProcess(
    name: String,
    storePort: Int,
    dir: Path,
    private val host: String = "127.0.0.1",
    private val peerPort: Int = freePort(),
) : AutoCloseable {
    private val free = List(PORTS) { freePort() }
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
                "--relay-from",
                "2",
            )
        builder.environment()["AUBURNHALL_BOOT"] = settings.toString()
        builder.redirectErrorStream(true).redirectOutput(log.toFile())
        process = builder.start()
    }

    /** Waits until the balancer would send callers here. */
    fun awaitReady() = await("ready") { get("http://$host:$readiness/auburnhall/readiness") == OK }

    /** Waits until the log holds an event of this name, [times] times. */
    fun awaitEvent(
        event: String,
        times: Int = 1,
    ) = await(event) { Files.readString(log).split("\"event\":\"$event\"").size > times }

    /** Waits until the log holds [text]. */
    fun awaitText(text: String) = await(text) { text in Files.readString(log) }

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
    ) = """{"node_name":"$name","ip":"$host","zone":"z1",
        "listen":{"front":"$host:$port","ready":"$host:$readiness"},
        "internal_ports":[$peerPort,$peerPort],"bootstrap":true,"bounds":{"grace_s":8,"retry_budget_ratio":0.2,
        "budget_window_s":10,"retry_budget_extra":100},
        "platform":{"address":"127.0.0.1:$storePort","ttl_min_ms":1000}}"""

    companion object {
        private const val OK = 200
        private const val PORTS = 2
        private const val WAIT_S = 60L
        private const val POLL_MS = 50L
        private val JAR: Path = Path.of("..", "target", "auburnhall.jar").toAbsolutePath().normalize()

        /** A port that is free now. */
        fun freePort(): Int = ServerSocket(0).use { it.localPort }
    }
}
