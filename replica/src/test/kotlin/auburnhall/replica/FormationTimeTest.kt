package auburnhall.replica

import auburnhall.core.Address
import auburnhall.core.Model
import auburnhall.core.Worker
import auburnhall.replica.ReplicaSimulation.Companion.ENGINE
import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FormationTimeTest {
    private val model = ENGINE.models.last()
    private val context =
        object : PlacementContext {
            override fun lastModel(worker: Worker): String? = null

            override fun freeMs(worker: Worker) = 0L

            override fun slotUtilization(model: String): Double? = null

            override fun pendingLoads(
                domain: String,
                model: Model,
            ) = emptyList<PendingLoad>()

            override val coldMembersAllowed = false
        }

    private fun worker(
        id: String,
        loaded: Boolean = false,
        staged: Boolean = false,
    ) = Worker(
        id = id,
        service = "s",
        address = Address("127.0.0.1", 1),
        dataCentre = "z",
        slots = 1,
        draining = false,
        startedAtUnixMs = 1,
        fabricDomain = "d",
        stagedModels = listOf(model.name).filter { staged },
        loadedModels = listOf(model.name).filter { loaded },
        membership = null,
    )

    private fun best(
        workers: List<Worker>,
        pending: List<PendingLoad> = emptyList(),
        runningLoads: Int = 0,
    ): FormationOption? {
        val inventory = WeightInventory(ENGINE.models, context)
        return FormationOptions(model, inventory, FormationTime(ENGINE, runningLoads)).inDomain(workers, pending)
    }

    private val loaded = listOf(worker("a", loaded = true), worker("b", loaded = true))

    /** Guards against a choice by the number of workers instead of by the time until the replica serves. */
    @Test
    fun `the fastest way is chosen by what the members have`() {
        val load = PendingLoad(worker("e"), 700)
        val warm = best(loaded + worker("c", staged = true) + worker("d"))
        val later = best(loaded + worker("c", staged = true), listOf(load))
        val afterLoad = best(loaded + worker("d"), listOf(load))
        val cold = best(loaded + worker("d"), runningLoads = 15)
        assertEquals(1_400L, (warm as FormationOption.AtOnce).serviceMs)
        assertEquals(1_200L, (later as FormationOption.AfterLoads).serviceMs)
        assertEquals(1_200L, (afterLoad as FormationOption.AfterLoads).serviceMs)
        assertEquals(24_300L, (cold as FormationOption.WithColdMembers).serviceMs)
        assertEquals(listOf("d"), cold.cold.map { it.id })
        assertEquals(null, best(loaded))
    }

    /** Guards against more loads within 5 s than the store grants, and against none after a take-over. */
    @Test
    fun `loads keep to the rate in every window`() {
        val clock = FakeScheduler()
        for (tookOver in listOf(false, true)) {
            val limiter = WeightLoadLimiter(clock, tookOver)
            val starts = ArrayList<Long>()
            repeat(200) {
                repeat(limiter.permits(14.0)) {
                    limiter.onLoadStarted()
                    starts.add(clock.nowMs())
                }
                clock.advance(100)
            }
            assertTrue(starts.maxOf { end -> starts.count { it in end - 4_999..end } } in 65..70)
            assertEquals(if (tookOver) 0 else 28, starts.count { it == clock.nowMs() - 20_000 })
        }
    }
}
