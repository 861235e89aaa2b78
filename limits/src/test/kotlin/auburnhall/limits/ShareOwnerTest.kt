package auburnhall.limits

import auburnhall.core.CustomerId
import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import auburnhall.core.Plan
import auburnhall.core.ProcessId
import auburnhall.membership.Member
import auburnhall.membership.Membership
import auburnhall.membership.MembershipView
import auburnhall.test.FakeClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** What is lent is added up by the test from the grants themselves. */
class ShareOwnerTest {
    private class Lent(
        val atMillis: Long,
        val grant: ShareGrant,
        val borrower: ProcessId,
    )

    private class FakeMembership(
        private val self: Member,
        var answering: List<Member>,
    ) : Membership {
        override fun view() = MembershipView(self, MEMBERS, answering.mapTo(HashSet()) { it.process })
    }

    private val clock = FakeClock()
    private val history = ArrayList<Lent>()

    @Test
    fun `what is lent in any window stays within rate and burst, and concurrency within the plan`() {
        for (seed in 1..50) {
            history.clear()
            val random = Random(seed)
            val owner = owner(MEMBERS)
            repeat(400) {
                clock.advance(random.nextLong(100))
                borrow(owner, MEMBERS[random.nextInt(MEMBERS.size)], random)
            }
            check("seed=$seed")
        }
    }

    @Test
    fun `two sides of a partition together lend no more than the plan`() {
        for (seed in 1..50) {
            history.clear()
            val random = Random(seed)
            val sides = listOf(MEMBERS.take(3), MEMBERS.drop(3))
            val owners = sides.map { owner(it) }
            repeat(800) {
                clock.advance(random.nextLong(50))
                val side = random.nextInt(2)
                borrow(owners[side], sides[side].random(random), random)
            }
            check("seed=$seed")
        }
    }

    @Test
    fun `a customer that another process owns is left out`() {
        val self = MEMBERS.first { it != view(MEMBERS).ownerOf(TEAM) }
        val owner = ShareOwner(FakeMembership(self, MEMBERS), { PLAN }, clock)
        assertEquals(emptyList<ShareGrant>(), owner.lend(self.process, listOf(ShareDemand(TEAM, 1.0, 1.0, 1, 0))))
    }

    @Test
    fun `one borrower alone gets the whole plan`() {
        val owner = owner(MEMBERS)
        var lent = 0.0
        repeat(100) {
            clock.advance(100)
            lent += owner.lend(MEMBERS[0].process, listOf(ShareDemand(TEAM, 1e6, 1e6, 1_000, 0)))[0].requests
        }
        assertTrue(lent >= PLAN.requestsPerSecond * 9, "$lent")
    }

    private fun owner(side: List<Member>) = ShareOwner(FakeMembership(view(side).ownerOf(TEAM), side), { PLAN }, clock)

    private fun view(side: List<Member>) = MembershipView(side[0], MEMBERS, side.mapTo(HashSet()) { it.process })

    private fun borrow(
        owner: ShareOwner,
        member: Member,
        random: Random,
    ) {
        val running = history.lastOrNull { it.borrower == member.process }?.grant?.concurrent ?: 0
        val demand =
            ShareDemand(TEAM, random.nextDouble(30.0), random.nextDouble(900.0), running + random.nextInt(9), running)
        owner.lend(member.process, listOf(demand)).forEach {
            history +=
                Lent(clock.monotonicMillis(), it, member.process)
        }
    }

    private fun check(message: String) {
        history.forEachIndexed { i, first ->
            var requests = 0.0
            var tokens = 0.0
            for (l in history.drop(i)) {
                requests += l.grant.requests
                tokens += l.grant.tokens
                val seconds = (l.atMillis - first.atMillis) / 1_000.0 + 1
                assertTrue(requests <= PLAN.requestsPerSecond * seconds + ROUNDING, "$message requests")
                assertTrue(tokens <= PLAN.tokensPerSecond * seconds + ROUNDING, "$message tokens")
            }
            val held = history.take(i + 1).filter { it.atMillis + it.grant.validMillis > first.atMillis }
            val concurrent = held.groupBy { it.borrower }.values.sumOf { it.last().grant.concurrent }
            assertTrue(concurrent <= PLAN.concurrentRequests, "$message concurrency $concurrent")
        }
    }

    private companion object {
        const val ROUNDING = 1e-6
        val TEAM = CustomerId("team")
        val PLAN = Plan("p", 20.0, 800.0, 30, 1, 0, 1_000, 10_000)
        val MEMBERS =
            List(
                5,
            ) { Member(ProcessId("p$it"), InstanceId("i$it"), DataCentreId("dc"), "127.0.0.1:$it", "127.0.0.1:9$it") }
    }
}
