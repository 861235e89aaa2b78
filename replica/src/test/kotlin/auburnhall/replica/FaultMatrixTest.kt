package auburnhall.replica

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

class FaultMatrixTest {
    @TestFactory
    fun `every fault at every step`(): List<DynamicTest> =
        MatrixFault.entries.flatMap { fault ->
            MatrixStep.entries.flatMap { step ->
                listOf(true, false).map { honours ->
                    dynamicTest("$fault at $step, fencing ${if (honours) "honoured" else "ignored"}") {
                        strike(fault, step, honours)
                    }
                }
            }
        }

    @Test
    fun `random histories of faults`() {
        val count = Integer.getInteger("auburnhall.histories", HISTORIES)
        val served = (1..count).sumOf { history(it) }
        println("histories=$count requests served=$served")
    }

    private fun strike(
        fault: MatrixFault,
        step: MatrixStep,
        honours: Boolean,
    ) {
        val seed = fault.ordinal * MatrixStep.entries.size + step.ordinal
        println("seed=$seed")
        val world = matrixWorld(seed, honours)
        step.reach(world)
        val end = fault.strike(world, Random(seed))
        world.run(STRUCK_MILLIS) { world.invariants.check() }
        end()
        world.untilServing()
        world.run(CALM_MILLIS) { world.invariants.check() }
        assertEquals(emptySet<String>(), world.invariants.violations)
    }

    /** A few faults, overlapping, at random moments; then calm, after which all that is wanted serves again. */
    private fun history(seed: Int): Int {
        val random = Random(seed)
        val world = matrixWorld(seed, random.nextBoolean(), random.nextLong(MAX_LOAD_MILLIS))
        val ends = ArrayList<() -> Unit>()
        repeat(random.nextInt(MIN_FAULTS, MAX_FAULTS)) {
            world.run(random.nextLong(MAX_GAP_MILLIS)) { world.invariants.check() }
            operate(world, random)
            val fault = MatrixFault.entries.random(random)
            if (world.processes.count { it.isUp } > 1) ends += fault.strike(world, random)
            if (random.nextBoolean() && ends.isNotEmpty()) ends.removeAt(random.nextInt(ends.size))()
        }
        ends.forEach { it() }
        world.undrain()
        world.untilServing()
        assertEquals(emptySet<String>(), world.invariants.violations, "seed=$seed")
        return world.invariants.served
    }

    /** What operators do meanwhile: another version, or one instance drained. */
    private fun operate(
        world: ReplicaWorld,
        random: Random,
    ) {
        when (random.nextInt(OPERATE_ONE_IN)) {
            0 -> world.models = world.models.map { it.copy(version = "${it.version}+") }
            1 ->
                world.drain(
                    world.engines.engines.keys
                        .random(random),
                )
            2 -> world.undrain()
        }
        world.spread()
    }

    private companion object {
        const val OPERATE_ONE_IN = 5
        const val STRUCK_MILLIS = 40_000L
        const val CALM_MILLIS = 20_000L
        const val HISTORIES = 60
        const val MAX_LOAD_MILLIS = 8_000L
        const val MAX_GAP_MILLIS = 30_000L
        const val MIN_FAULTS = 2
        const val MAX_FAULTS = 7
    }
}
