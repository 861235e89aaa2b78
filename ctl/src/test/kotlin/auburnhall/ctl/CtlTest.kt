package auburnhall.ctl

import auburnhall.config.Confirmations
import auburnhall.config.OperatorService
import auburnhall.config.StoredConfiguration
import auburnhall.config.api.FleetStatus
import auburnhall.config.api.GroupDowntime
import auburnhall.config.api.operatorRoutes
import auburnhall.core.ProcessId
import auburnhall.http.HttpCaller
import auburnhall.http.HttpServer
import auburnhall.http.ServerSettings
import auburnhall.test.FakeClock
import auburnhall.test.FakeKeyValueStore
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream

class CtlTest {
    @TempDir
    lateinit var directory: File

    private val clock = FakeClock()
    private val store = FakeKeyValueStore(clock)
    private val everyoneKnows =
        object : Confirmations {
            override fun onStored(
                stored: StoredConfiguration,
                sentAtMillis: Long,
            ) = Unit

            override fun ask(processes: Collection<ProcessId>) = Unit

            override fun sequenceOf(process: ProcessId) = Long.MAX_VALUE
        }
    private val service = OperatorService(clock, store.client(), everyoneKnows) { clock.advance(it) }
    private val status = FleetStatus(ProcessId("p1"), 7, 3, groupDowntime = listOf(GroupDowntime("m", 2.5)))
    private val routes =
        operatorRoutes(service, { status }, { emptyList() }) { request ->
            "ana".takeIf { request.header("Authorization") == "Bearer secret" }
        }
    private val server = HttpServer(ServerSettings("127.0.0.1", 0), routes)
    private val caller = HttpCaller()
    private var printed = ""

    @AfterEach
    fun close() {
        server.close()
        caller.close()
    }

    @Test
    fun `lists are applied, shown, changed and audited`() {
        write(PLAN)
        assertEquals(ExitCode.DONE, run("apply", directory.path, "--note", "first"))
        write(PLAN.replace("\"weight\": 1", "\"weight\": 3"))
        assertEquals(ExitCode.DONE, run("diff", directory.path))
        assertTrue("customers.plans[gold].weight: 1 -> 3" in printed, printed)
        assertEquals(ExitCode.DONE, run("apply", directory.path))
        assertEquals(ExitCode.DONE, run("audit"))
        assertTrue("version 1 by ana" in printed && "version 2 by ana" in printed, printed)
        assertEquals(ExitCode.DONE, run("show", "--output", "json"))
        assertTrue("\"version\": 2" in printed, printed)
    }

    @Test
    fun `the loser of a race is shown what changed`() {
        write(PLAN)
        run("apply", directory.path)
        write(PLAN.replace("\"weight\": 1", "\"weight\": 3"))
        run("apply", directory.path)
        write(PLAN.replace("\"weight\": 1", "\"weight\": 4"))
        assertEquals(ExitCode.CONFLICT, run("apply", directory.path, "--expect", "1"))
        assertTrue("customers.plans[gold].weight: 1 -> 3" in printed, printed)
        run("show", "--output", "json")
        assertTrue("\"weight\": 3" in printed, printed)
    }

    @Test
    fun `a list that is not valid is refused with file, line and field, and changes nothing`() {
        write(PLAN.replace("\"weight\": 1", "\"weight\": 0"))
        assertEquals(ExitCode.REFUSED, run("apply", directory.path))
        assertTrue("customers.json:3: plans[0].weight: must be at least 1" in printed, printed)
        assertEquals(ExitCode.REFUSED, run("validate", directory.path))
        run("audit", "--output", "json")
        assertTrue("\"changes\": []" in printed, printed)
    }

    @Test
    fun `drains are asked for and taken back`() {
        assertEquals(ExitCode.DONE, run("stop", "i 7"))
        assertTrue(Regex("i 7 +stop +ana").containsMatchIn(printed), printed)
        assertEquals(ExitCode.DONE, run("undrain", "i 7"))
        assertTrue("i 7" !in printed, printed)
    }

    @Test
    fun `status is printed, and a request nobody knows is refused`() {
        assertEquals(ExitCode.DONE, run("status"))
        assertTrue("configuration version 7" in printed && "2.5" in printed, printed)
        assertEquals(ExitCode.REFUSED, run("explain", "r1"))
    }

    @Test
    fun `a wrong key, a wrong command line and nobody there have their own exit codes`() {
        assertEquals(ExitCode.REFUSED, run("show", "--operator-key", "wrong"))
        assertEquals(ExitCode.USAGE, run("sing"))
        assertEquals(ExitCode.USAGE, run("drain"))
        assertEquals(ExitCode.USAGE, run("show", "--output", "xml"))
        assertEquals(ExitCode.UNREACHABLE, run("show", "--entry", "127.0.0.1:1"))
        assertEquals(ExitCode.DONE, run("show", "--entry", "127.0.0.1:1,127.0.0.1:${server.port}"))
    }

    private fun run(vararg args: String): ExitCode {
        val out = ByteArrayOutputStream()
        val stream = PrintStream(out, true)
        val environment = mapOf(ENTRY_VARIABLE to "127.0.0.1:${server.port}", KEY_VARIABLE to "secret")
        val code = Ctl(caller, environment, stream, stream).run(args.toList())
        printed = out.toString()
        return code
    }

    private fun write(customers: String) {
        File(directory, "customers.json").writeText(customers)
        File(directory, "usage.json").writeText("{}")
    }

    private companion object {
        val PLAN =
            """
            {
              "plans": [{"name": "gold", "requests_per_second": 5, "tokens_per_second": 100,
                         "concurrent_requests": 4, "weight": 1, "first_token_ms": 400, "answer_ms": 9000}]
            }
            """.trimIndent()
    }
}
