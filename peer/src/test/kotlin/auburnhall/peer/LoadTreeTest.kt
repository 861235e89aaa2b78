package auburnhall.peer

import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import auburnhall.core.ProcessId
import auburnhall.membership.Member
import auburnhall.membership.MembershipView
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LoadTreeTest {
    private val dataCentre = DataCentreId("dc1")
    private val members = (1..60).map { member("p$it", if (it % 3 == 0) "dc1" else "dc2") }

    @Test
    fun `the process that polls the engines is the root even when it ranks last`() {
        val last = view(members.first()).ranked("table/dc1").last { it.dataCentre == dataCentre }
        assertNull(parent(view(last), dataCentre, last.process))
        assertTrue(members.filter { it != last }.all { reaches(it, last) })
    }

    @Test
    fun `no process answers more children than the fanout and every path is short`() {
        val children = members.mapNotNull { parent(view(it), dataCentre, null) }.groupingBy { it }.eachCount()
        assertTrue(children.values.all { it <= LOAD_FANOUT })
        assertEquals(1, members.count { parent(view(it), dataCentre, null) == null })
        assertTrue(members.all { depth(it) <= 3 })
    }

    private fun reaches(
        from: Member,
        root: Member,
    ) = generateSequence(from) { parent(view(it), dataCentre, root.process) }.last() == root

    private fun depth(from: Member) = generateSequence(from) { parent(view(it), dataCentre, null) }.count() - 1

    private fun view(self: Member) = MembershipView(self, members, members.map { it.process }.toSet())

    private fun member(
        name: String,
        dataCentre: String,
    ) = Member(ProcessId(name), InstanceId(name), DataCentreId(dataCentre), "127.0.0.1:1", "127.0.0.1:2")
}
