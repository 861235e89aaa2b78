package auburnhall.explain

import auburnhall.core.DataCentreId
import auburnhall.core.Deadline
import auburnhall.core.Explanation
import auburnhall.core.ExplanationEvent
import auburnhall.core.InstanceId
import auburnhall.core.ProcessId
import auburnhall.core.Reason
import auburnhall.core.RequestId
import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.membership.Member
import auburnhall.membership.Membership
import auburnhall.membership.MembershipView
import auburnhall.test.FakeClock
import auburnhall.test.FakeControlLoop
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ExplanationLogTest {
    /** Several processes in three data centres, connected by direct calls. */
    private class Cluster(
        size: Int = 6,
    ) : ExplanationPeers {
        val clock = FakeClock()
        val loop = FakeControlLoop(clock)
        val members =
            (0 until size).map { i ->
                Member(ProcessId("p$i"), InstanceId("i$i"), DataCentreId("dc${i % 3}"), "$i", "$i")
            }
        val gone = HashSet<ProcessId>()
        val logs =
            members.associate { m ->
                m.process to PeerExplanationLog(m.process, membership(m), this, loop, clock)
            }
        var keeps = 0
        var lostKeeps = 0

        init {
            logs.values.forEach { it.start() }
        }

        fun membership(of: Member) =
            object : Membership {
                override fun view() =
                    MembershipView(of, members, members.map { it.process }.filter { it !in gone }.toSet())
            }

        fun log(i: Int) = logs.getValue(ProcessId("p$i"))

        fun holders(id: RequestId) = logs.filter { (p, log) -> p !in gone && log.store.find(id) != null }.keys

        override fun keep(
            member: Member,
            records: List<Explanation>,
        ): KeepResult {
            keeps += 1
            if (member.process in gone || keeps <= lostKeeps) return KeepResult.Error("lost by the test")
            records.forEach { logs.getValue(member.process).store.keep(it) }
            return KeepResult.Success
        }

        override fun find(
            member: Member,
            requestId: RequestId,
        ): List<Explanation> =
            if (member.process in
                gone
            ) {
                emptyList()
            } else {
                listOfNotNull(logs.getValue(member.process).store.find(requestId))
            }
    }

    private val ids = (1..50).map { RequestId("req_$it") }

    @Test
    fun `two others hold each record, one of them in another data centre, and all find it`() {
        val c = Cluster()
        ids.forEach { c.log(0).record(explanation(it)) }
        c.loop.advance(2_000)
        for (id in ids) {
            val others = c.holders(id) - ProcessId("p0")
            assertEquals(2, others.size)
            assertEquals(
                2,
                c.members
                    .filter { it.process in others }
                    .map { it.dataCentre }
                    .distinct()
                    .size,
            )
            c.logs.values.forEach { assertEquals(id, it.find(id).single().requestId) }
        }
        assertTrue(c.keeps <= 10, "${c.keeps} calls for ${ids.size} records")
    }

    @Test
    fun `records are found after the process that served and then any other have gone`() {
        for (second in 1..5) {
            val c = Cluster()
            ids.forEach { c.log(0).record(explanation(it)) }
            c.loop.advance(2_000)
            c.gone += ProcessId("p0")
            c.loop.advance(2_000)
            c.gone += ProcessId("p$second")
            c.loop.advance(2_000)
            val asked = c.logs.filterKeys { it !in c.gone }.values
            ids.forEach { id -> asked.forEach { assertEquals(1, it.find(id).size, "$id after p0 and p$second") } }
            ids.forEach { assertTrue(c.holders(it).size >= 2, "$it is held by ${c.holders(it)}") }
        }
    }

    @Test
    fun `a batch that did not arrive is sent again`() {
        for (lost in 1..5) {
            val c = Cluster()
            c.lostKeeps = lost
            c.log(0).record(explanation(ids[0]))
            c.loop.advance(5_000)
            assertEquals(3, c.holders(ids[0]).size, "$lost calls lost")
        }
    }

    @Test
    fun `a record made while no other process answers is copied once others do`() {
        val c = Cluster(3)
        c.gone += listOf(ProcessId("p1"), ProcessId("p2"))
        c.log(0).record(explanation(ids[0]))
        c.loop.advance(2_000)
        c.gone.clear()
        c.loop.advance(2_000)
        assertEquals(3, c.holders(ids[0]).size)
    }

    @Test
    fun `a stopping process hands over what it holds`() {
        val c = Cluster()
        ids.forEach { c.log(0).record(explanation(it)) }
        assertEquals(0, c.log(0).handOver(Deadline(c.clock.monotonicMillis() + 1_000)))
        c.gone += ProcessId("p0")
        ids.forEach { assertEquals(2, c.holders(it).size) }
    }

    @Test
    fun `a hand-over says how many records have too few copies`() {
        val c = Cluster()
        ids.forEach { c.log(0).record(explanation(it)) }
        assertEquals(ids.size, c.log(0).handOver(Deadline(c.clock.monotonicMillis())))
    }

    @Test
    fun `records end after an hour and the oldest go first beyond the memory bound`() {
        val clock = FakeClock()
        val store = ExplanationStore(clock, limitBytes = 5_000)
        ids.forEach { store.keep(explanation(it)) }
        assertTrue(store.heldBytes in 1..5_000)
        assertNull(store.find(ids.first()))
        assertEquals(ids.last(), store.find(ids.last())?.requestId)
        clock.advance(3_599_999)
        assertEquals(ids.last(), store.find(ids.last())?.requestId)
        clock.advance(1)
        assertNull(store.find(ids.last()))
        assertEquals(0 to 0L, store.size to store.heldBytes)
    }

    private fun explanation(id: RequestId) =
        Explanation(
            id,
            null,
            null,
            "m",
            ProcessId("p0"),
            "2026-01-01T00:00:00Z",
            5,
            RunState.NOT_RUN,
            503,
            listOf(ExplanationEvent(1, Step.ADMIT, "m", Reason.NO_REPLICA, Reason.NO_REPLICA.words)),
        )
}
