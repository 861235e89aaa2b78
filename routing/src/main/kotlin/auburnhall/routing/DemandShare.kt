/*
 * The share of a process in what all processes send. Half of it is the same for all processes, so that one without
 * requests in progress can begin; the rest follows the requests in progress, which the load reports tell, over some
 * seconds. The shares of all processes add up to 1 when they know the same load.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Computes the share of this process among [processes]; [pool] returns the targets that serve the same as one. */
class DemandShare(
    private val clock: Clock,
    private val load: LoadTracker,
    private val processes: () -> Int,
    private val pool: (Target) -> List<Target>,
) : LoadShare {
    private val byServed = HashMap<String, Average>()

    override fun of(target: Target): Double {
        val now = clock.nowMs()
        val known = byServed.getOrPut(target.served) { Average(1.0 / processes(), now) }
        if (now - known.atMs >= PERIOD_MS) known.add(current(target), now)
        return known.value
    }

    private fun current(target: Target): Double {
        val targets = pool(target)
        val own = targets.sumOf { load.own(it.key).requests }
        val all = targets.sumOf { load.total(it.key).requests }
        val even = 1.0 / processes()
        return EVEN_PART * even + (1 - EVEN_PART) * (own + even) / (all + 1)
    }

    /** An average that forgets; traffic thread only. */
    private class Average(
        var value: Double,
        var atMs: Long,
    ) {
        fun add(
            current: Double,
            now: Long,
        ) {
            value += (current - value) * ((now - atMs) / AVERAGE_MS).coerceAtMost(1.0)
            atMs = now
        }
    }

    private companion object {
        /** Part of each limit that is spread evenly. */
        const val EVEN_PART = 0.5

        /** Interval at which the share is computed. */
        const val PERIOD_MS = 200L

        /** Time over which the share follows the load; if it were short, processes would send just while it is high. */
        const val AVERAGE_MS = 8_000.0
    }
}
