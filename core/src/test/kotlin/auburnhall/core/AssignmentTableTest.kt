package auburnhall.core

import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class AssignmentTableTest {
    @Test
    fun `an instance in two replicas is refused`() {
        val a = replica("a", "i1", "i2")
        val b = replica("b", "i2", "i3")
        assertThrows(IllegalArgumentException::class.java) {
            AssignmentTable(DataCentreId("dc1"), replicas = listOf(a, b))
        }
    }

    @Test
    fun `a member listed twice is refused`() {
        assertThrows(IllegalArgumentException::class.java) { replica("a", "i1", "i1") }
    }

    private fun replica(
        id: String,
        vararg members: String,
    ) = Replica(ReplicaId(id), "m", "1", members.map(::InstanceId), 1, ReplicaState.SERVING)
}
