package auburnhall.routing

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** 122 processes with uneven rates and reports of every age choose among 35 replicas of three data centres. */
class ChoosersTest {
    private val simulation = SpreadingSimulation(SEED, TOTAL_PERIOD_MS)

    private fun play(
        name: String,
        ms: Long,
        load: Double,
    ): SpreadingFigures {
        val figures = simulation.play(ms, load)
        println(
            "%-22s %5d sent, to full %4.1f %%, to fuller %4.1f %%, above mean %4.1f %%, late %4.1f %%, refused %4.1f %%, "
                .format(
                    name,
                    figures.sent,
                    100 * figures.share(figures.toFull),
                    100 * figures.share(figures.toFuller),
                    100 * figures.aboveMean(simulation.targets),
                    100 * figures.share(figures.late),
                    100 * figures.share(figures.refused),
                ) +
                "new connections %4.1f %%, other data centre %4.1f %%".format(
                    100 * figures.share(figures.newConnections),
                    100 * figures.share(figures.otherDataCentre),
                ),
        )
        return figures
    }

    /** Guards against requests that queue at full targets while others have free slots. */
    @Test
    fun `few of the requests of 122 choosers reach a full target`() {
        println("seed = $SEED")
        play("start", 3_000, 0.85)
        val steady = play("0.85 of the slots", 5_000, 0.85)
        play("0.95 of the slots", 5_000, 0.95)
        play("burst of 1.2", 1_500, 1.2)
        play("after the burst", 3_000, 0.85)
        simulation.loseReplica()
        play("a replica lost", 2_000, 0.85)
        simulation.evacuate("c")
        play("data centre evacuated", 3_000, 0.85)
        assertTrue(steady.share(steady.toFull) <= 0.15, "${steady.toFull} of ${steady.sent} requests to a full target")
    }

    private companion object {
        const val SEED = 5L
        const val TOTAL_PERIOD_MS = 110L
    }
}
