package auburnhall.replica

import auburnhall.core.ModelSpec
import auburnhall.core.ReplicaState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class QuarantineTest {
    private val world = ReplicaWorld(models = listOf(ModelSpec("chat", "1", instancesPerReplica = 2, replicas = 1)))

    @Test
    fun `a late order of a dissolved replica finds instances that ignore fencing in no other replica`() {
        world.engines.add("d1", 2, loadMillis = 0, honoursFencing = false)
        world.start("p1")
        world.until { world.table().replicas.any { it.state == ReplicaState.FORMING } }
        val faults = world.processes.single().engineFaults
        faults.delaysOrders = true
        world.until {
            world.processes
                .single()
                .engineFaults.delayed > 0
        }
        world.models = world.models.map { it.copy(version = "2") }
        world.spread()
        faults.delaysOrders = false
        world.until { world.table().replicas.none { it.modelVersion == "1" } }
        world.untilServing()
        world.run(20_000) { world.invariants.check() }
        assertEquals(emptySet<String>(), world.invariants.violations)
        assertTrue(world.engines.orders.none { it.before != null && it.before.modelVersion == "2" })
    }
}
