/*
 * Seeded arrivals: who asks, when, for how much, and by when the plan promises the answer.
 */
package auburnhall.bench.load

import auburnhall.core.CustomerId
import auburnhall.core.Plan
import java.util.Random
import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sin

/** A team, its plan and the part of all requests that it sends. */
class Team(
    val id: CustomerId,
    val plan: Plan,
    val part: Double,
    val prompts: List<Prompt>,
)

/**
 * A kind of day.
 *
 * @property meanTokens mean length of an answer.
 * @property spread standard deviation of the logarithm of the length.
 * @property swing height of the slow peaks over the mean, as a part of it.
 * @property burstFactor by how much one large team exceeds its usual rate during a burst.
 */
data class Workload(
    val name: String,
    val meanTokens: Double,
    val spread: Double,
    val maxTokens: Int,
    val firstTokenMillis: Long,
    val answerMillis: Long,
    val swing: Double,
    val burstFactor: Double,
) {
    companion object {
        /** Replies while a customer waits at the counter. */
        val SHOP_DAY = Workload("shop day", 200.0, 0.6, 1_000, 1_000, 60_000, 0.2, 3.0)

        /** Copy and briefs that have to be finished by the morning. */
        val NIGHT_COPY = Workload("night of copy", 600.0, 0.5, 2_400, 30_000, 300_000, 0.0, 1.0)
    }
}

/** One request as it arrives. */
class Arrival(
    val atMillis: Double,
    val team: Team,
    val prompt: Prompt,
    val tokens: Int,
)

/** Draws teams and arrivals. The same seed gives the same arrivals to every policy. */
class Arrivals(
    private val workload: Workload,
    seed: Long,
) {
    private val random = Random(seed)

    /** Ten teams, three of them large, each with a few prompts that it sends again and again. */
    val teams: List<Team> =
        PARTS.mapIndexed { i, part ->
            val prompts = List(PROMPTS_PER_TEAM) { prompt() }
            Team(CustomerId("team-$i"), plan(i, part), part, prompts)
        }

    /** Arrivals over [millis] at [perSecond] requests a second on average. */
    fun draw(
        perSecond: Double,
        millis: Long,
    ): List<Arrival> {
        val arrivals = ArrayList<Arrival>()
        teams.forEachIndexed { i, team ->
            val most = perSecond * team.part * (1 + workload.swing) * workload.burstFactor
            var at = 0.0
            while (true) {
                at += -ln(1 - random.nextDouble()) / most * MILLIS_PER_SECOND
                if (at >= millis) break
                if (random.nextDouble() * most < rate(i, perSecond * team.part, at)) arrivals += arrival(at, team)
            }
        }
        return arrivals.sortedBy { it.atMillis }
    }

    private fun rate(
        team: Int,
        mean: Double,
        atMillis: Double,
    ): Double {
        val slow = 1 + workload.swing * sin(2 * PI * atMillis / PEAK_MILLIS)
        val bursts = team == BURSTING_TEAM && atMillis % BURST_EVERY_MILLIS < BURST_MILLIS
        return mean * slow * if (bursts) workload.burstFactor else 1.0
    }

    private fun arrival(
        at: Double,
        team: Team,
    ) = Arrival(at, team, team.prompts[random.nextInt(team.prompts.size)], length())

    private fun length(): Int {
        val location = ln(workload.meanTokens) - workload.spread * workload.spread / 2
        return exp(location + workload.spread * random.nextGaussian()).toInt().coerceIn(2, workload.maxTokens)
    }

    private fun prompt() = Prompt(List(BLOCKS) { random.nextInt() }, PREFILL_TOKENS)

    private fun plan(
        team: Int,
        part: Double,
    ) = Plan(
        "plan-$team",
        UNLIMITED,
        UNLIMITED,
        UNLIMITED.toInt(),
        (part * WEIGHTS).toInt().coerceAtLeast(1),
        0,
        workload.firstTokenMillis,
        workload.answerMillis,
    )

    private companion object {
        val PARTS = listOf(0.25, 0.2, 0.15, 0.08, 0.07, 0.06, 0.06, 0.05, 0.05, 0.03)
        const val PROMPTS_PER_TEAM = 8
        const val BLOCKS = 8
        const val PREFILL_TOKENS = 8.0
        const val UNLIMITED = 1e7
        const val WEIGHTS = 100
        const val BURSTING_TEAM = 0
        const val BURST_EVERY_MILLIS = 30_000.0
        const val BURST_MILLIS = 3_000.0
        const val PEAK_MILLIS = 120_000.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
