/*
 * Every fault at every step of an order: the target must see it at most once, and callers must be told the truth.
 */
package auburnhall.ledger

import auburnhall.core.RequestId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

class AtMostOnceMatrixTest {
    private enum class Fault {
        CALL_LOST,
        ANSWER_LOST,
        CALL_LATE,
        REFUSED,
        STORE_OUTAGE,
        OWNER_KILLED,
        OWNER_PAUSED,
        OWNER_SUSPECTED,
        REQUESTER_KILLED,
        REQUESTER_PAUSED,
        RETRY_ELSEWHERE,
        OTHER_BODY_ELSEWHERE,
    }

    /** Three processes; the order comes to [requester], its shard belongs to [owner], and [other] ranks after it. */
    private class Scene {
        val world = LedgerWorld(PROCESSES, Random(SEED))
        val requester: LedgerProcess = world.processes[0]
        val owner: LedgerProcess = world.processes[1]
        val other: LedgerProcess = world.processes[2]

        /** Keys of one shard whose order of owners is [owner], [other], [requester]. */
        val keys =
            (0 until KEYS_TRIED).map { "key-$it" }.filter {
                ranks(
                    it,
                ) == listOf(owner.id, other.id, requester.id)
            }
        val key = keys.first()
        val warmUpKey = keys.drop(1).first { shardOf(intentKey(it)) == shardOf(intentKey(key)) }

        private fun intentKey(key: String) = IntentKey(LedgerWorld.CUSTOMER, key)

        private fun ranks(key: String) =
            world
                .membershipOf(LedgerWorld.member("p0"))
                .view()
                .ranked(rankingKey(shardOf(intentKey(key))))
                .map { it.process }
    }

    @TestFactory
    fun `an order runs at most once under every fault at every step`(): List<DynamicTest> =
        LedgerStep.entries.flatMap { step -> Fault.entries.map { fault -> cell(fault, step) } }

    private fun cell(
        fault: Fault,
        step: LedgerStep,
    ) = DynamicTest.dynamicTest("$fault at $step") {
        val scene = Scene()
        warmUp(scene, step)
        var strikes = 0
        scene.world.script =
            Script { at, process ->
                if (at == step && strikes == 0) {
                    strikes += 1
                    strike(scene, fault, step, process)
                } else {
                    Loss.NONE
                }
            }
        scene.world.order(scene.requester, scene.key)
        scene.world.order(scene.other, scene.key)
        recover(scene)
        assertTrue(strikes > 0, "the step was never reached")
        scene.world.history.check("$fault at $step")
        assertTrue(isFinal(scene.world.history.lastTold), "still ${scene.world.history.lastTold}")
    }

    /** The shard is owned before the order comes; for a take-over its owner is then no longer seen by the others. */
    private fun warmUp(
        scene: Scene,
        step: LedgerStep,
    ) {
        scene.world.order(scene.requester, scene.warmUpKey)
        if (step == LedgerStep.TAKE_OVER) scene.world.suspect(scene.owner)
        scene.world.advance(SETTLE_MILLIS)
    }

    private fun strike(
        scene: Scene,
        fault: Fault,
        step: LedgerStep,
        at: LedgerProcess,
    ): Loss {
        val world = scene.world
        val owner = if (step == LedgerStep.TAKE_OVER) at else scene.owner
        when (fault) {
            Fault.STORE_OUTAGE -> world.storeDownUntil = world.clock.monotonicMillis() + OUTAGE_MILLIS
            Fault.OWNER_KILLED -> world.kill(owner)
            Fault.OWNER_PAUSED -> world.pause(owner, PAUSE_MILLIS)
            Fault.OWNER_SUSPECTED -> world.suspect(owner)
            Fault.REQUESTER_KILLED -> world.kill(scene.requester)
            Fault.REQUESTER_PAUSED -> pauseRequester(scene)
            Fault.RETRY_ELSEWHERE -> world.order(scene.other, scene.key)
            Fault.OTHER_BODY_ELSEWHERE -> world.order(scene.other, scene.key, "other body")
            Fault.CALL_LOST, Fault.ANSWER_LOST, Fault.CALL_LATE, Fault.REFUSED -> Unit
        }
        return lossOf(fault)
    }

    private fun lossOf(fault: Fault) =
        when (fault) {
            Fault.CALL_LOST -> Loss.CALL
            Fault.ANSWER_LOST -> Loss.ANSWER
            Fault.CALL_LATE -> Loss.LATE
            Fault.REFUSED -> Loss.REFUSED
            else -> Loss.NONE
        }

    /** The caller gives up and asks elsewhere until it hears that the order may have run; then the pause ends. */
    private fun pauseRequester(scene: Scene) {
        scene.world.pause(scene.requester, PAUSE_MILLIS)
        scene.world.later(PAUSE_MILLIS - ASK_AGAIN_MILLIS) { scene.world.order(scene.other, scene.key) }
    }

    /** All faults end; then two callers ask again. */
    private fun recover(scene: Scene) {
        val world = scene.world
        world.script = Script { _, _ -> Loss.NONE }
        world.advance(RECOVERY_MILLIS)
        world.processes.forEach { world.trust(it) }
        world.order(scene.other, scene.key)
        world.advance(RECOVERY_MILLIS)
        world.order(world.processes.first { !it.isDead }, scene.key)
    }

    private fun isFinal(told: Told) = told is Told.Answered || told is Told.MayHaveRun || told == Told.KeyReused

    @Test
    fun `an order that was not run because the store was down runs when it is asked for again`() {
        val scene = Scene()
        warmUp(scene, LedgerStep.COMMIT)
        scene.world.storeDownUntil = scene.world.clock.monotonicMillis() + OUTAGE_MILLIS
        scene.world.order(scene.requester, scene.key)
        assertTrue(scene.world.history.lastTold is Told.NotRun)
        scene.world.advance(RECOVERY_MILLIS)
        scene.world.order(scene.other, scene.key)
        assertTrue(scene.world.history.lastTold is Told.Answered)
        scene.world.history.check("after the outage")
    }

    @Test
    fun `the earlier owner grants nothing once the shard was taken over, even before the new owner commits anything`() {
        val scene = Scene()
        warmUp(scene, LedgerStep.TAKE_OVER)
        scene.world.order(scene.requester, scene.warmUpKey)
        assertTrue(scene.world.history.lastTold is Told.Answered)
        val request = IntentRequest(LedgerWorld.CUSTOMER, scene.key, "body", RequestId("late"))
        var reply: ReserveReply? = null
        scene.owner.owner.reserve(request, scene.owner.id) { reply = it }
        scene.world.advance(SETTLE_MILLIS)
        assertEquals(ReserveReply.NotOwner, reply)
    }

    private companion object {
        const val PROCESSES = 3
        const val SEED = 7
        const val KEYS_TRIED = 2_000
        const val OUTAGE_MILLIS = 10_000L
        const val PAUSE_MILLIS = 45_000L
        const val ASK_AGAIN_MILLIS = 5_000L
        const val SETTLE_MILLIS = 1_000L
        const val RECOVERY_MILLIS = 90_000L
    }
}
