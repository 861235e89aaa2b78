package auburnhall.routing

import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class RouterTest {
    private val time = FakeScheduler()
    private val load = LoadTracker(time)
    private val health = TargetHealth(time)
    private val router = Router(load, health, "a", Random(1), UnreportedRequests { 1 }) { true }
    private val targets = listOf(target("x"), target("y"), target("z"))

    private fun chosen(tried: Set<TargetKey> = emptySet()): String =
        (router.choose(TargetRequirements("s", "m", tried), targets) as Choice.Send).target.worker.id

    @Test
    fun `chooses the target with the least load over all processes`() {
        load.begin(targets[0].key, 0)
        load.begin(targets[0].key, 0)
        load.onPeerReport("peer", mapOf(targets[1].key.text.hashCode() to TargetLoad(3, 0)))
        repeat(20) { assertEquals("z", chosen()) }
    }

    @Test
    fun `an unread prompt weighs more than responses that are being generated`() {
        load.begin(targets[0].key, 4_000)
        repeat(3) { load.begin(targets[1].key, 0) }
        repeat(6) { load.begin(targets[2].key, 0) }
        repeat(20) { assertEquals("y", chosen()) }
    }

    @Test
    fun `an expired load report of a process is not counted`() {
        load.onPeerReport("peer", mapOf(targets[0].key.text.hashCode() to TargetLoad(9, 0)))
        time.advance(2_000)
        assertEquals(0, load.total(targets[0].key).requests)
    }

    @Test
    fun `avoids suspect and failing targets while others are available`() {
        health.markSuspect(targets[0].key)
        health.onFailure(targets[1].key)
        repeat(20) { assertEquals("z", chosen()) }
    }

    @Test
    fun `a slow replica receives requests only when the others are full`() {
        health.slow.mark(targets[0].key)
        targets.drop(1).forEach { other -> repeat(17) { load.begin(other.key, 0) } }
        repeat(20) { assertTrue(chosen() != "x") }
        targets.drop(1).forEach { other -> repeat(targets[0].slots - 17) { load.begin(other.key, 0) } }
        repeat(20) { assertEquals("x", chosen()) }
        time.advance(3_000)
        assertEquals("x", chosen())
    }

    @Test
    fun `uses a failing target rather than none, and a suspect one last`() {
        health.markSuspect(targets[0].key)
        health.onFailure(targets[1].key)
        repeat(20) { assertEquals("y", chosen(setOf(targets[2].key))) }
    }

    @Test
    fun `returns Full when all targets are full`() {
        targets.forEach { target -> repeat(18) { load.begin(target.key, 0) } }
        load.end(targets[1].key, 0)
        load.begin(targets[1].key, 0)
        assertTrue(router.choose(TargetRequirements("s", "m"), targets) is Choice.Full)
    }

    @Test
    fun `returns None once every target has been tried`() {
        assertEquals(
            Choice.None,
            router.choose(TargetRequirements("s", "m", targets.mapTo(HashSet()) { it.key }), targets),
        )
    }
}
