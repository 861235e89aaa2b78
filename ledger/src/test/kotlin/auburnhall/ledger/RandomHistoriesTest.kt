/*
 * Random orders under random faults, several at once. Each history is made from its seed alone.
 */
package auburnhall.ledger

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class RandomHistoriesTest {
    /** Makes one history. */
    private class Chaos(
        private val random: Random,
    ) : Script {
        val world = LedgerWorld(PROCESSES, random)
        var strikes = 0
        private var depth = 0

        fun run() {
            world.script = this
            repeat(ORDERS) {
                order()
                world.advance(random.nextLong(MAX_GAP_MILLIS))
            }
        }

        override fun at(
            step: LedgerStep,
            process: LedgerProcess,
        ): Loss {
            if (random.nextInt(ONE_IN) != 0) return Loss.NONE
            strikes += 1
            return strike(process)
        }

        private fun strike(process: LedgerProcess): Loss {
            when (random.nextInt(KINDS)) {
                0 -> world.pause(process, random.nextLong(MAX_PAUSE_MILLIS))
                1 -> world.pause(anyProcess(), random.nextLong(MAX_PAUSE_MILLIS))
                2 -> world.storeDownUntil = world.clock.monotonicMillis() + random.nextLong(MAX_OUTAGE_MILLIS)
                3 -> anyProcess().let { if (random.nextBoolean()) world.suspect(it) else world.trust(it) }
                4 -> killSometimes(process)
                5, 6 -> orderMeanwhile()
                else -> return Loss.entries.random(random)
            }
            return Loss.NONE
        }

        /** One process is left in any case. */
        private fun killSometimes(process: LedgerProcess) {
            if (world.processes.count { !it.isDead } > 1) world.kill(process)
        }

        private fun orderMeanwhile() {
            if (depth >= MAX_DEPTH) return
            depth += 1
            order()
            depth -= 1
        }

        private fun order() {
            val key = "key-${random.nextInt(KEYS)}"
            val body = if (random.nextInt(ONE_IN) == 0) "other body" else "body"
            world.order(anyProcess(), key, body)
        }

        private fun anyProcess() = world.processes.filter { !it.isDead }.random(random)
    }

    @Test
    fun `orders run at most once in random histories`() {
        val count = System.getProperty("auburnhall.histories")?.toInt() ?: DEFAULT_HISTORIES
        println("seed=$FIRST_SEED..${FIRST_SEED + count - 1}")
        var strikes = 0
        var runs = 0
        for (seed in FIRST_SEED until FIRST_SEED + count) {
            val chaos = Chaos(Random(seed))
            chaos.run()
            chaos.world.history.check("seed=$seed")
            strikes += chaos.strikes
            runs += chaos.world.history.runCount
        }
        println("histories=$count faults=$strikes runs=$runs")
        assertTrue(runs > count && strikes > count, "the histories exercise nothing: $runs runs, $strikes faults")
    }

    private companion object {
        const val FIRST_SEED = 1_000
        const val DEFAULT_HISTORIES = 200
        const val PROCESSES = 4
        const val KEYS = 4
        const val ORDERS = 14
        const val ONE_IN = 8
        const val KINDS = 12
        const val MAX_DEPTH = 2
        const val MAX_GAP_MILLIS = 6_000L
        const val MAX_PAUSE_MILLIS = 50_000L
        const val MAX_OUTAGE_MILLIS = 8_000L
    }
}
