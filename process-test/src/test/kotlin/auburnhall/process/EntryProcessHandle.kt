/*
 * Starts the packaged entry program as a child process, for tests that need real processes.
 */
package auburnhall.process

import java.io.File
import java.net.HttpURLConnection
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** What most tests leave as it is. */
class ProcessOptions(
    /** The port for callers. */
    val port: Int = EntryProcessHandle.freePort(),
    /** Number of processes from which on they read the changes of the store through each other. */
    val relayFrom: Int = 2,
    /** The port at which requests are taken over from other processes; null if they are not. */
    val helperPort: Int? = null,
    /** The program's file. */
    val jar: String = PROGRAM,
) {
    companion object {
        /** The program's file; the system property `entry.jar` names that of another commit. */
        val PROGRAM: String = System.getProperty("entry.jar") ?: "../target/auburnhall.jar"
    }
}

/** An entry process that uses the store at [storePort]; processes that communicate as peers share [peerPort]. */
class EntryProcessHandle(
    name: String,
    storePort: Int,
    dir: Path,
    val host: String = "127.0.0.1",
    private val peerPort: Int = freePort(),
    private val options: ProcessOptions = ProcessOptions(),
) : AutoCloseable {
    /** The port for callers. */
    val port: Int = options.port
    private val settingsFile = dir.resolve("$name.json")

    private val readinessPort = freePort()

    /** The same port stands for none. */
    private val helperPort = options.helperPort ?: peerPort

    /** The process's standard output and error. */
    val logFile: Path = dir.resolve("$name.log")
    private val process: Process

    init {
        Files.writeString(settingsFile, settingsText(name, storePort))
        val builder =
            ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xss256k",
                "-XX:+ExitOnOutOfMemoryError",
                "-jar",
                File(options.jar).canonicalPath,
                "--metrics-port",
                "0",
                "--relay-from",
                "${options.relayFrom}",
            )
        builder.environment()["AUBURNHALL_BOOT"] = settingsFile.toString()
        builder.redirectErrorStream(true).redirectOutput(logFile.toFile())
        process = builder.start()
    }

    /** Waits until the readiness check passes, so that a load balancer would send callers. */
    fun awaitReady() = await("readiness") { get("http://$host:$readinessPort/auburnhall/readiness") == OK_STATUS }

    /** Waits until the log holds [event] at least [times] times. */
    fun awaitEvent(
        event: String,
        times: Int = 1,
    ) = await(event) { Files.readString(logFile).split("\"event\":\"$event\"").size > times }

    /** Waits until the log holds [text]. */
    fun awaitText(text: String) = await(text) { text in Files.readString(logFile) }

    /** Whether the process runs. */
    val alive: Boolean get() = process.isAlive

    /** The id of the process, for signals. */
    val pid: Long get() = process.pid()

    /** Sends SIGTERM, which begins a planned stop. */
    fun terminate() = process.destroy()

    /** Waits for the process to exit; returns its exit code. */
    fun awaitExit(): Int {
        check(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) { "the process did not exit within $TIMEOUT_S s" }
        return process.exitValue()
    }

    override fun close() {
        process.destroyForcibly()
    }

    private fun await(
        what: String,
        condition: () -> Boolean,
    ) {
        val deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S)
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) {
                "no $what within $TIMEOUT_S s; log:\n${Files.readString(logFile)}"
            }
            process.waitFor(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun get(uri: String): Int =
        runCatching { (URI(uri).toURL().openConnection() as HttpURLConnection).responseCode }.getOrDefault(0)

    private fun settingsText(
        name: String,
        storePort: Int,
    ) = """{"node_name":"$name","ip":"$host","zone":"z1",
        "listen":{"front":"$host:$port","ready":"$host:$readinessPort"},
        "internal_ports":[$peerPort,$helperPort],"bootstrap":true,"bounds":{"grace_s":8,"retry_budget_ratio":0.2,
        "budget_window_s":10,"retry_budget_extra":100,"evacuate_ms":$EVACUATE_MS},
        "platform":{"address":"127.0.0.1:$storePort","ttl_min_ms":1000}}"""

    companion object {
        /** The bound on an evacuation in the settings of all processes. */
        const val EVACUATE_MS = 5_000L
        private const val OK_STATUS = 200
        private const val TIMEOUT_S = 60L
        private const val POLL_INTERVAL_MS = 50L

        /**
         * Below the ports that systems give to outgoing connections: one of those may be taken before
         * the process binds it.
         */
        private val PORTS = 10_000..32_000
        private val givenOut = HashSet<Int>()

        /** A port that is free now, and that was not returned before. */
        fun freePort(): Int =
            generateSequence { PORTS.random() }.first { port ->
                port !in givenOut && runCatching { ServerSocket(port).close() }.isSuccess && givenOut.add(port)
            }
    }
}
