/*
 * A small fleet of real processes: the platform stand-in, engines, one plain service and entry processes.
 */
package auburnhall.process

import auburnhall.config.api.FleetStatus
import auburnhall.http.HttpCall
import auburnhall.http.HttpCaller
import auburnhall.http.HttpHeader
import auburnhall.http.HttpOutcome
import kotlinx.serialization.json.Json
import java.security.MessageDigest

/** An instance of the fleet: its process and where it listens. */
data class TestInstance(
    val name: String,
    val process: TestProcess,
    val address: String,
)

/** What a fleet consists of; built by [testFleet]. */
class TestFleetBuilder {
    var entryProcesses = 2
    var fabricDomains = listOf("fabric-a", "fabric-b")
    var tokenMillis = 20
    var drainSeconds = 60
}

/** Starts a fleet. Two engine instances per fabric domain form one replica each. */
fun testFleet(build: TestFleetBuilder.() -> Unit = {}): TestFleet = TestFleet(TestFleetBuilder().apply(build))

/** A running fleet. */
class TestFleet(
    private val settings: TestFleetBuilder,
) : AutoCloseable {
    private val started = ArrayList<TestProcess>()
    private val caller = HttpCaller()
    private val json = Json { ignoreUnknownKeys = true }

    val platform = start("platform", STANDIN, "platform", "--kv-port", "0", "--http-port", "0", "--list-lag-ms", "500")
    private val storeAddress = platform.await(Regex("listens at (\\S+) and"))
    private val platformAddress = platform.await(Regex(" and (\\S+)$"))
    val engines = settings.fabricDomains.flatMap { d -> (1..2).map { startEngine("$d-$it", d) } }
    val service = startService()
    val entries = (1..settings.entryProcesses).map { startEntry("entry-$it") }.toMutableList()

    init {
        apply("customers", customers(), 0)
        awaitReplicas(settings.fabricDomains.size)
    }

    fun startEntry(name: String): TestInstance {
        val process =
            start(
                name,
                ENTRY,
                "--instance",
                name,
                "--data-centre",
                "dc1",
                "--store",
                storeAddress,
                "--platform",
                platformAddress,
                "--port",
                "0",
                "--peer-port",
                "0",
                "--operators",
                "ana=${sha256(OPERATOR_KEY)}",
                "--balancer-seconds",
                "1",
                "--drain-seconds",
                settings.drainSeconds.toString(),
            )
        return TestInstance(name, process, process.await(Regex("serves at (\\S+)")))
    }

    /** The state of the fleet as [entry] sees it; null when it does not answer. */
    fun status(entry: TestInstance = entries.first()): FleetStatus? {
        val outcome = operator("GET", entry, "/operator/status", null)
        return (outcome as? HttpOutcome.Answer)?.takeIf { it.status == OK }?.let { json.decodeFromString(it.text()) }
    }

    fun awaitReplicas(count: Int) =
        awaitUntil("$count serving replicas", ::outputs) {
            entries.filter { it.process.isAlive }.all { e -> serving(e) >= count }
        }

    private fun serving(entry: TestInstance) = status(entry)?.replicas.orEmpty().count { it.state == "serving" }

    /** Applies the usual lists with [customers]; [expected] is the version they were made from. */
    fun apply(
        changeId: String,
        customers: String,
        expected: Long,
        entry: TestInstance = entries.first(),
    ): String {
        val files = "{\"customers\":${quote(customers)},\"usage\":${quote(USAGE)}}"
        val body = """{"change_id":"$changeId","expected_version":$expected,"files":$files}"""
        val outcome = operator("POST", entry, "/operator/apply", body)
        return (outcome as? HttpOutcome.Answer)?.text() ?: outcome.toString()
    }

    fun drain(
        instance: String,
        entry: TestInstance = entries.first(),
    ) = operator("POST", entry, "/operator/drains", """{"instance":"$instance","stop":false}""")

    fun explanation(
        requestId: String,
        entry: TestInstance,
    ): String =
        (operator("GET", entry, "/operator/explanations/$requestId", null) as? HttpOutcome.Answer)?.text().orEmpty()

    /** Sends an order; [entry] answers or not. */
    fun order(
        entry: TestInstance,
        key: String,
        body: String = "{\"bundle\":\"cot sheets\"}",
    ): HttpOutcome =
        caller.call(
            HttpCall(
                method = "POST",
                url = "http://${entry.address}/services/stock/orders",
                timeoutMillis = ORDER_MILLIS,
                body = body.toByteArray(),
                headers = listOf(bearer(CUSTOMER_KEY), HttpHeader("Idempotency-Key", key)),
            ),
        )

    /** Number of orders that the service says it ran. */
    fun ordersRun(): Int = Regex("\"number\"").findAll(get(service.address, "/history")).count()

    /** Puts a scripted fault on a stand-in. */
    fun fault(
        address: String,
        json: String,
    ) = caller.call(HttpCall("POST", "http://$address/faults", SHORT_MILLIS, json.toByteArray()))

    /** The engine instance that leads a replica and runs a request now; null when none does. */
    fun busyLeader(): TestInstance? =
        engines.firstOrNull { it.process.isAlive && !get(it.address, "/v1/engine/live").contains("\"running\":0") }

    fun get(
        address: String,
        path: String,
    ): String =
        (caller.call(HttpCall("GET", "http://$address$path", SHORT_MILLIS)) as? HttpOutcome.Answer)?.text().orEmpty()

    fun outputs(): String = started.joinToString("\n") { it.output() }

    override fun close() {
        started.forEach { it.close() }
        caller.close()
    }

    private fun operator(
        method: String,
        entry: TestInstance,
        path: String,
        body: String?,
    ) = caller.call(
        HttpCall(
            method = method,
            url = "http://${entry.address}$path",
            timeoutMillis = OPERATOR_MILLIS,
            body = body?.toByteArray(),
            headers = listOf(bearer(OPERATOR_KEY)),
        ),
    )

    private fun startEngine(
        name: String,
        domain: String,
    ): TestInstance {
        val process =
            start(
                name,
                STANDIN,
                "engine",
                "--instance",
                name,
                "--data-centre",
                "dc1",
                "--fabric-domain",
                domain,
                "--platform",
                platformAddress,
                "--accelerators",
                "8",
                "--token-millis",
                settings.tokenMillis.toString(),
            )
        return TestInstance(name, process, process.await(LISTENS))
    }

    private fun startService(): TestInstance {
        val process =
            start(
                "stock-1",
                STANDIN,
                "service",
                "--instance",
                "stock-1",
                "--service",
                "stock",
                "--data-centre",
                "dc1",
                "--platform",
                platformAddress,
            )
        return TestInstance("stock-1", process, process.await(LISTENS))
    }

    private fun start(
        name: String,
        mainClass: String,
        vararg arguments: String,
    ) = TestProcess(name, mainClass, arguments.toList()).also { started += it }

    companion object {
        const val CUSTOMER_KEY = "shop-key"
        const val OPERATOR_KEY = "operator-key"
        const val OK = 200
        private const val STANDIN = "auburnhall.standin.MainKt"
        private const val ENTRY = "auburnhall.entry.MainKt"
        private const val SHORT_MILLIS = 2_000L
        private const val ORDER_MILLIS = 20_000L
        private const val OPERATOR_MILLIS = 30_000L
        private val LISTENS = Regex("listens at (\\S+)")
        private const val USAGE =
            """{"models":[{"name":"assistant","version":"1","instances_per_replica":2}],"services":[{"name":"stock"}],
                "grants":[{"plan":"shop","models":["assistant"],"services":["stock"]}]}"""

        /** A list of customers in which the key [key] belongs to the only customer. */
        fun customers(key: String = CUSTOMER_KEY): String =
            """{"plans":[{"name":"shop","requests_per_second":200,"tokens_per_second":100000,"concurrent_requests":200,
                "first_token_ms":20000,"answer_ms":120000}],
                "customers":[{"id":"nursery-shop","plan":"shop","key_sha256":["${sha256(key)}"]}]}"""

        fun bearer(key: String) = HttpHeader("Authorization", "Bearer $key")

        private fun sha256(text: String) =
            MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }

        private fun quote(text: String) =
            kotlinx.serialization.json
                .JsonPrimitive(text)
                .toString()
    }
}
