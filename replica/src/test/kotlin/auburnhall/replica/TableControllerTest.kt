package auburnhall.replica

import auburnhall.core.ReplicaState
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class TableControllerTest {
    @Test
    fun `replicas form, load and are listed once every member says so`() {
        val world = ReplicaWorld()
        world.engines.add("dc1", "d1", 8)
        world.engines.add("dc1", "d2", 5)
        world.start("p1", "p2")
        world.run(60_000)
        val table = world.table()!!
        assertEquals(3, table.replicas.count { it.state == ReplicaState.SERVING })
        world.processes.forEach {
            assertEquals(
                3,
                it.fleet
                    .view()
                    .replicas.size,
            )
        }
    }

    @Test
    fun `a lost member takes its replica out of routing and then out of the table`() {
        val world = ReplicaWorld()
        world.engines.add("dc1", "d1", 5)
        world.start("p1", "p2")
        world.run(60_000)
        val first = world.table()!!.replicas.single()
        world.engines[first.members[1].value].dead = true
        world.run(ReplicaTiming.PRESENCE_MILLIS + 1_000)
        world.processes.forEach {
            assertEquals(
                0,
                it.fleet
                    .view()
                    .replicas.size,
            )
        }
        world.run(60_000)
        val second = world.table()!!.replicas.single()
        assertEquals(ReplicaState.SERVING, second.state)
        assertEquals(
            1,
            world.processes[0]
                .fleet
                .view()
                .replicas.size,
        )
    }
}
