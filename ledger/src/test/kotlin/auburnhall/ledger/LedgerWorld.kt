/*
 * Entry processes with their ledgers, one store and one target, on one thread and one clock. A script is asked at every
 * step what goes wrong; what target and callers really saw is kept for [checkHistory].
 */
package auburnhall.ledger

import auburnhall.core.CustomerId
import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import auburnhall.core.ProcessId
import auburnhall.core.RequestId
import auburnhall.membership.Member
import auburnhall.membership.Membership
import auburnhall.membership.MembershipView
import auburnhall.test.FakeClock
import auburnhall.test.FakeKeyValueStore
import kotlin.random.Random

/** Where a fault can strike. */
internal enum class LedgerStep { ASK, COMMIT, COMMITTED, DISPATCH, REPORT, REPORT_COMMIT, REPORT_COMMITTED, TAKE_OVER }

/** What happens to the message of a step. */
internal enum class Loss { NONE, CALL, ANSWER, REFUSED, LATE }

/** Decides what goes wrong when [process] is at a step; it may also pause or kill processes and send further orders. */
internal fun interface Script {
    fun at(
        step: LedgerStep,
        process: LedgerProcess,
    ): Loss
}

/** Unwinds the work of a traffic thread whose process was killed. */
internal class ProcessKilled : RuntimeException()

internal class LedgerWorld(
    processes: Int,
    random: Random,
) {
    private class Event(
        val at: Long,
        val run: () -> Unit,
    )

    private val events = ArrayList<Event>()
    private val suspected = HashSet<ProcessId>()
    private var requests = 0
    private val members = (0 until processes).map { member("p$it") }

    val clock = FakeClock()
    val store = FakeKeyValueStore(clock)
    val history = History()
    val processes = members.map { LedgerProcess(it, this, random) }
    var script = Script { _, _ -> Loss.NONE }
    var storeDownUntil = 0L

    fun membershipOf(self: Member) =
        object : Membership {
            override fun view() = MembershipView(self, members, members.map { it.process }.toSet() - suspected)
        }

    fun process(id: ProcessId): LedgerProcess = processes.first { it.id == id }

    /** Lets [millis] pass, or less if [isOver] before. */
    fun advance(
        millis: Long,
        isOver: () -> Boolean = { false },
    ) {
        val end = clock.monotonicMillis() + millis
        runAll()
        while (clock.monotonicMillis() < end && !isOver()) {
            clock.advance(STEP_MILLIS)
            runAll()
        }
    }

    /** Runs [run] in [millis]. */
    fun later(
        millis: Long,
        run: () -> Unit,
    ) {
        events += Event(clock.monotonicMillis() + millis, run)
    }

    /** Others notice a few seconds after [process] stops. */
    fun kill(process: LedgerProcess) {
        process.isDead = true
        process.loop.pause()
        later(DETECTION_MILLIS) { suspected += process.id }
    }

    fun pause(
        process: LedgerProcess,
        millis: Long,
    ) {
        if (process.isDead || !process.loop.isRunning) return
        process.loop.pause()
        later(DETECTION_MILLIS) { if (!process.loop.isRunning) suspected += process.id }
        later(millis) { if (!process.isDead) process.loop.resume() }
        later(millis + DETECTION_MILLIS) { if (!process.isDead) suspected -= process.id }
    }

    /** The other processes stop seeing [process], which goes on. */
    fun suspect(process: LedgerProcess) {
        suspected += process.id
    }

    fun trust(process: LedgerProcess) {
        if (!process.isDead) suspected -= process.id
    }

    /** A caller sends an order to [process] and is told something, unless the process is killed meanwhile. */
    fun order(
        process: LedgerProcess,
        key: String,
        body: String = "body",
    ) {
        requests += 1
        val request = IntentRequest(CUSTOMER, key, body, RequestId("r$requests"))
        try {
            history.told(request, process.serve(request), clock.monotonicMillis())
        } catch (_: ProcessKilled) {
            history.told(request, Told.Nothing, clock.monotonicMillis())
        }
    }

    private fun runAll() {
        val due = events.filter { it.at <= clock.monotonicMillis() }
        events.removeAll(due)
        due.forEach { it.run() }
        processes.forEach { if (!it.isDead) it.loop.runDue() }
    }

    companion object {
        fun member(name: String) =
            Member(ProcessId(name), InstanceId(name), DataCentreId("dc1"), "127.0.0.1:1", "127.0.0.1:2")

        val CUSTOMER = CustomerId("customer")
        const val STEP_MILLIS = 50L
        const val DETECTION_MILLIS = 3_000L
    }
}
