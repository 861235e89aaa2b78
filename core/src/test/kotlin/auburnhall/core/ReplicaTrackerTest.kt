package auburnhall.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ReplicaTrackerTest {
    private val models = listOf(Model("m", 2, 1.0, 1.0, 1, 1))
    private val tracker = ReplicaTracker("s")
    private val head = member("h", 0, MemberState.OPEN)
    private val other = member("o", 1, MemberState.READY)

    private fun member(
        id: String,
        rank: Int,
        state: MemberState,
        epoch: Long = 7,
        draining: Boolean = false,
    ) = Worker(
        id,
        "s",
        Address("1.1.1.1", 1),
        "z",
        1,
        draining,
        1,
        "d",
        emptyList(),
        emptyList(),
        Membership("m/7", epoch, rank, state),
    )

    private fun open(vararg workers: Worker) = tracker.update(Fleet(1, workers.asList()), models).size

    @Test
    fun `a replica is open once all members are listed in it`() {
        assertEquals(0, open(head))
        assertEquals(0, open(head, member("o", 1, MemberState.READY, epoch = 6)))
        assertEquals(1, open(head, other))
    }

    @Test
    fun `a replica stays open while the entry of a member is missing`() {
        open(head, other)
        assertEquals(1, open(head))
        assertEquals(listOf("o"), tracker.missing(tracker.open.single(), Fleet(2, listOf(head))).map { it.id })
    }

    @Test
    fun `a replica closes when its head is missing or closing, or a member has another epoch or drains`() {
        open(head, other)
        assertEquals(0, open(other))
        open(head, other)
        assertEquals(0, open(head, member("o", 1, MemberState.JOINING, epoch = 8)))
        open(head, other)
        assertEquals(0, open(head, member("o", 1, MemberState.READY, draining = true)))
        open(head, other)
        assertEquals(0, open(member("h", 0, MemberState.CLOSING), other))
    }
}
