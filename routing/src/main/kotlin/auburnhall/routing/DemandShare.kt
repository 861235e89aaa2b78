/*
 * The share of a process in what all processes send. Half of it is the same for all processes, so that one without
 * requests in progress can begin; the rest follows the requests in progress, which the load reports tell, over some
 * seconds. The shares of all processes add up to 1 when they know the same load.
 */
package auburnhall.routing

import auburnhall.core.Clock
import kotlin.random.Random

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

/**
 * The share of [process] if every other one sends as much. Holds without knowledge of the others' load, so that the
 * shares of all processes add up to 1 at most, also after a start and while some are cut off. Traffic thread only.
 */
class EvenShare(
    private val process: String,
    private val clock: Clock,
) : LoadShare {
    private val settledAtMs = clock.nowMs() + SETTLE_MS
    private var peers: Set<String> = emptySet()
    private var earlier = 1
    private var earlierUntilMs = clock.nowMs()

    /** The other processes that are registered are [names]. */
    fun onPeers(names: Set<String>) {
        if (names.size < peers.size) {
            earlier = assumed()
            earlierUntilMs = clock.nowMs() + MEMORY_MS
        }
        peers = names
    }

    /**
     * Fraction from 0 to 1 for [worker]. Those of processes that know each other lie evenly apart, in another order for
     * each worker; those of processes that know nothing of each other lie at random.
     */
    fun phase(worker: TargetKey): Double {
        val own = hash(process, worker)
        val before = peers.count { hash(it, worker) < own }
        return (before + Random(own).nextDouble()) / (peers.size + 1)
    }

    private fun hash(
        name: String,
        worker: TargetKey,
    ): Int = Random(name.hashCode() * HASH_FACTOR + worker.text.hashCode()).nextInt()

    override fun of(target: Target): Double = 1.0 / assumed()

    private fun assumed(): Int {
        val now = clock.nowMs()
        val started = if (now < settledAtMs) MAX_PROCESSES else 1
        val before = if (now < earlierUntilMs) earlier else 1
        return maxOf(peers.size + 1, started, before)
    }

    private companion object {
        /** After a start of all processes, their registrations reach each other within this time. */
        const val SETTLE_MS = 3_000L

        /** The largest number of processes that the system is designed for. */
        const val MAX_PROCESSES = 370

        /** A process that is cut off from the store serves on after its registration has expired. */
        const val MEMORY_MS = 60_000L
        const val HASH_FACTOR = 31
    }
}
