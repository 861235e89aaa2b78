package auburnhall.gateway

import auburnhall.core.Address
import auburnhall.core.Clock
import auburnhall.http.HttpClient
import auburnhall.http.newEventLoop
import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class HelpersTest {
    private val time = FakeScheduler()
    private val loop = newEventLoop("helpers-test")
    private val helpers = Helpers(time, Random(1), helper("self", "a"), HttpClient(loop, Clock.SYSTEM))

    private fun helper(
        name: String,
        dataCentre: String,
    ) = Helper(name, Address("10.0.0.1", 80), dataCentre)

    @AfterEach
    fun close() {
        loop.parent().shutdownGracefully()
    }

    /** Guards against asking only processes that have lost their workers together with this one. */
    @Test
    fun `the own data centre is asked first, and another one when it has refused twice`() {
        helpers.onProcesses((1..9).map { helper("a$it", "a") } + helper("b1", "b"))
        repeat(20) { assertTrue(checkNotNull(helpers.select(setOf("a1"))).dataCentre == "a") }
        val third = (1..50).mapNotNull { helpers.select(setOf("a1", "a2")) }
        assertTrue(third.any { it.dataCentre == "b" })
        assertNull(helpers.select((1..6).mapTo(HashSet()) { "a$it" }))
    }

    @Test
    fun `a process that has failed is asked again after a while`() {
        helpers.onProcesses(listOf(helper("a1", "a")))
        helpers.onFailure("a1")
        assertNull(helpers.select(emptySet()))
        time.advance(3_000)
        assertEquals("a1", helpers.select(emptySet())?.process)
    }

    /** Guards against ending orders in an upgrade that another process would have served. */
    @Test
    fun `a process that does not say whether a request was executed is asked last`() {
        helpers.onProcesses(listOf(helper("old", "a"), helper("new", "b")))
        helpers.onFailedResponse("old", stated = false)
        repeat(20) { assertEquals("new", helpers.select(emptySet())?.process) }
        assertEquals("old", helpers.select(setOf("new"))?.process)
        helpers.onFailedResponse("old", stated = true)
        assertEquals("old", helpers.select(emptySet())?.process)
    }
}
