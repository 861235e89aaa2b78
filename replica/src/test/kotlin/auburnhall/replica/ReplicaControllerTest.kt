package auburnhall.replica

import auburnhall.replica.WorkerWorld.Companion.LARGE
import auburnhall.replica.WorkerWorld.Companion.SMALL
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ReplicaControllerTest {
    private val world = WorkerWorld()

    private fun started(): WorkerWorld = world.apply { run(45_000) }

    private fun memberOf(model: String): FakeWorker {
        val head = world.open().first { it.membership?.replica?.startsWith(model) == true }
        return world.worker(head.members.last())
    }

    @Test
    fun `forms a replica of each model in each domain and keeps spares`() {
        started()
        assertEquals(2, world.whole(LARGE))
        assertEquals(2, world.whole(SMALL))
        assertEquals(emptyList<String>(), world.broken)
    }

    @Test
    fun `forms a replica anew within two seconds after a member is lost, without a load`() {
        started()
        val loads = world.loads.size
        val lost = memberOf(LARGE)
        val key = checkNotNull(lost.membership).key
        world.kill(lost)
        world.controller.onSuspect(key)
        world.run(2_000)
        assertEquals(2, world.whole(LARGE))
        assertEquals(listOf(key), world.breaking)
        assertEquals(loads, world.loads.size)
    }

    @Test
    fun `says that a suspected replica is sound when all members answer`() {
        started()
        val key = checkNotNull(memberOf(LARGE).membership).key
        world.controller.onSuspect(key)
        world.run(100)
        assertEquals(listOf(key), world.sound)
        assertEquals(emptyList<ReplicaEpoch>(), world.breaking)
    }

    @Test
    fun `members of a head that cannot be reached leave before they join another replica`() {
        started()
        val head = world.open().first { it.membership?.replica?.startsWith(LARGE) == true }
        head.reachable = false
        world.controller.onSuspect(checkNotNull(head.membership).key)
        world.run(10_000)
        assertEquals(emptyList<String>(), world.broken)
        assertTrue(world.breaking.isNotEmpty())
    }

    @Test
    fun `a replica goes on while a member is only missing from the list`() {
        started()
        memberOf(LARGE).listed = false
        world.run(6_000)
        assertEquals(emptyList<ReplicaEpoch>(), world.breaking)
        assertEquals(2, world.whole(LARGE))
    }

    @Test
    fun `a slow member is replaced while there is a spare`() {
        started()
        val slow = memberOf(LARGE)
        slow.slowdownFactor = 4.0
        world.controller.onSuspect(checkNotNull(slow.membership).key)
        world.run(3_000)
        assertEquals(2, world.whole(LARGE))
        assertTrue(world.open().none { slow.id in it.members })
    }

    @Test
    fun `a slow member without a spare is told again and again, and its replica goes on`() {
        started()
        val slow = memberOf(LARGE)
        val key = checkNotNull(slow.membership).key
        val members = world.open().flatMapTo(HashSet()) { it.members }
        world.workers.filter { it.domain == slow.domain && it.id !in members }.forEach { world.kill(it) }
        world.run(5_000)
        slow.slowdownFactor = 4.0
        world.controller.onSuspect(key)
        world.run(4_000)
        assertEquals(emptyList<ReplicaEpoch>(), world.breaking)
        assertTrue(world.slow.size in 2..5, world.slow.toString())
        assertEquals(setOf(key), world.slow.toSet())
    }

    @Test
    fun `a controller that was held up itself takes no worker for lost`() {
        started()
        val member = memberOf(LARGE)
        val key = checkNotNull(member.membership).key
        member.reachable = false
        world.controller.onSuspect(key)
        repeat(20) {
            world.controlStall.record()
            world.run(50)
        }
        assertEquals(emptyList<ReplicaEpoch>(), world.breaking)
        world.run(1_500)
        assertEquals(listOf(key), world.breaking.distinct())
    }

    @Test
    fun `the second loss in a domain is covered by what the other spare has on its host`() {
        started()
        val loads = world.loads.size
        repeat(2) {
            val head = world.open().first { it.domain == "d0" && it.membership?.replica?.startsWith(LARGE) == true }
            val lost = world.worker(head.members.last())
            val key = checkNotNull(lost.membership).key
            world.kill(lost)
            world.controller.onSuspect(key)
            world.run(4_000)
        }
        assertEquals(2, world.whole(LARGE))
        assertEquals(loads, world.loads.size)
    }

    @Test
    fun `a domain that returns is whole again without loads`() {
        started()
        val domain = world.workers.filter { it.domain == "d0" }
        domain.forEach(world::kill)
        world.run(8_000)
        val loads = world.loads.size
        domain.forEachIndexed { index, worker -> world.scheduler.after(index * 100L) { world.restart(worker) } }
        world.run(6_000)
        assertEquals(2, world.whole(LARGE))
        assertEquals(2, world.whole(SMALL))
        assertEquals(loads, world.loads.size)
    }

    @Test
    fun `a replica whose member drains is formed anew`() {
        started()
        memberOf(SMALL).draining = true
        world.run(3_000)
        assertEquals(2, world.whole(SMALL))
        assertTrue(world.open().none { head -> head.members.any { world.worker(it).draining } })
    }

    @Test
    fun `another controller takes over without touching replicas that serve`() {
        started()
        val before = world.open().map { it.membership }
        world.replaceController(2_000_000)
        world.run(5_000)
        assertEquals(before, world.open().map { it.membership })
        assertEquals(emptyList<ReplicaEpoch>(), world.breaking)
    }

    @Test
    fun `random histories never put a worker into two open replicas nor open one without a member`() {
        for (seed in 1L..SEEDS) {
            val history = WorkerWorld(domains = 3)
            println("seed = $seed")
            history.random = Random(seed)
            history.ordersLost = 0.1
            history.run(20_000)
            repeat(STEPS) { disturb(history, it) }
            assertEquals(emptyList<String>(), history.broken, "seed $seed")
        }
    }

    private fun disturb(
        history: WorkerWorld,
        step: Int,
    ) {
        val worker = history.workers.random(history.random)
        when (history.random.nextInt(6)) {
            0 -> history.kill(worker)
            1 -> if (worker.alive) worker.reachable = !worker.reachable
            2 -> worker.listed = !worker.listed
            3 -> if (!worker.alive) history.restart(worker)
            4 -> history.replaceController(2_000_000L + step * 1_000_000L)
            else -> worker.membership?.key?.let { history.controller.onSuspect(it) }
        }
        history.run(history.random.nextLong(100, 2_000))
    }

    private companion object {
        const val SEEDS = 8L
        const val STEPS = 60
    }
}
