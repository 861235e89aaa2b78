/*
 * Grants leases on free slots to the processes of a data centre: first to those with waiting requests, by rank, then to
 * those that are likely to send next. Used by the collector, which is the only process that knows all loads and all
 * waiting requests early enough, and only for pools with few free slots for each process.
 */
package auburnhall.routing

import auburnhall.core.Clock
import kotlin.random.Random

/** Load and waiting requests of one process. */
class ProcessDemand(
    val loads: LoadsByHash,
    val waiting: WaitingByPool,
)

/** The targets of [pool] and what the collector knows about them and about the processes of its data centre. */
class LeasePool(
    val pool: TargetPool,
    val targets: List<Target>,
    /** Load over all processes. */
    val loads: LoadsByHash,
    /** Slots that the collectors of other data centres have leased. */
    val reservedElsewhere: Map<Int, Int>,
    val demands: Map<String, ProcessDemand>,
    /** Number of processes of all data centres. */
    val processes: Int,
)

/** Keeps the leases that were granted and not used yet. Traffic thread only. */
class LeaseGrants(
    private val clock: Clock,
    private val dataCentre: String,
    private val random: Random,
) {
    private val byProcess = HashMap<String, ArrayList<SlotLease>>()
    private var lastNumber = 0

    /** The process [name] has received the leases up to the number [received] and has not used those of [unused]. */
    fun onReport(
        name: String,
        received: Int,
        unused: Collection<Int>,
    ) {
        byProcess[name]?.removeIf { it.number <= received && it.number !in unused }
    }

    /** Number of slots that are leased, by target hash. */
    fun reserved(): Map<Int, Int> {
        expire()
        return byProcess.values
            .flatten()
            .groupingBy { it.target }
            .eachCount()
    }

    /** Grants leases on the free slots of [of], by the name of the process that gets them. */
    fun grant(of: LeasePool): Map<String, List<SlotLease>> {
        val slots = FreeSlots(of, reserved(), dataCentre)
        if (!SlotLeases.isShort(slots.count, of.processes)) return emptyMap()
        val granted = HashMap<String, ArrayList<SlotLease>>()
        val give = { name: String, target: Int -> granted.getOrPut(name) { ArrayList() }.add(lease(name, target)) }
        for (name in waitingInOrder(of)) {
            val target = slots.take() ?: slots.takeElsewhere() ?: break
            give(name, target)
        }
        val ahead = (slots.localCount * AHEAD_SHARE).toInt()
        likelySenders(of).take(ahead).forEach { name -> slots.take()?.let { give(name, it) } }
        return granted
    }

    private fun lease(
        name: String,
        target: Int,
    ) = SlotLease(++lastNumber, target, clock.nowMs() + VALID_MS).also {
        byProcess.getOrPut(name) { ArrayList() }.add(it)
    }

    /** A name for each waiting request without a lease: better ranks first, and then the processes by turns. */
    private fun waitingInOrder(of: LeasePool): List<String> {
        val targets = of.targets.mapTo(HashSet()) { it.key.text.hashCode() }
        val waiting =
            of.demands.flatMap { (name, demand) ->
                val byRank = demand.waiting[of.pool.hash].orEmpty().toSortedMap()
                val ranks = byRank.flatMap { (rank, count) -> List(count.coerceAtMost(MAX_WAITING)) { rank } }
                ranks.mapIndexed { turn, rank -> Triple(rank, turn, name) }.drop(unused(name, targets))
            }
        return waiting.shuffled(random).sortedWith(compareBy({ it.first }, { it.second })).map { it.third }
    }

    /** The processes without a lease and waiting requests, those with more requests in progress more often first. */
    private fun likelySenders(of: LeasePool): List<String> {
        val targets = of.targets.mapTo(HashSet()) { it.key.text.hashCode() }
        return of.demands
            .filter { (name, demand) -> of.pool.hash !in demand.waiting && unused(name, targets) == 0 }
            .mapValues { (_, demand) -> (1 + requests(demand, targets)) * random.nextDouble() }
            .entries
            .sortedByDescending { it.value }
            .map { it.key }
    }

    private fun requests(
        demand: ProcessDemand,
        targets: Set<Int>,
    ) = demand.loads.entries.sumOf { if (it.key in targets) it.value.requests else 0 }

    private fun unused(
        name: String,
        targets: Set<Int>,
    ) = byProcess[name].orEmpty().count { it.target in targets }

    private fun expire() {
        val now = clock.nowMs()
        byProcess.values.forEach { leases -> leases.removeIf { it.untilMs <= now } }
        byProcess.values.removeIf { it.isEmpty() }
    }

    companion object {
        /** Time for which a lease holds: until the request that waits for it has certainly been dispatched. */
        const val VALID_MS = 100L

        /** Share of the free slots that is leased to likely senders; the rest is for requests that begin to wait. */
        private const val AHEAD_SHARE = 0.5

        /** Waiting requests of one process and rank that are considered in a round. */
        private const val MAX_WAITING = 32
    }
}

/** The free slots of a pool, given out in the order of the load of their targets. */
private class FreeSlots(
    private val of: LeasePool,
    reserved: Map<Int, Int>,
    dataCentre: String,
) {
    private val hashes =
        IntArray(of.targets.size) {
            of.targets[it]
                .key.text
                .hashCode()
        }
    private val local = BooleanArray(hashes.size) { of.targets[it].worker.dataCentre == dataCentre }
    private val taken = IntArray(hashes.size) { reserved[hashes[it]] ?: 0 }
    private val room = IntArray(hashes.size) { of.targets[it].slots - load(it).requests - taken[it] - elsewhere(it) }
    private var budgetElsewhere =
        hashes.indices.sumOf { if (local[it]) 0 else room[it].coerceAtLeast(0) } / PART_ELSEWHERE

    /** Free slots of all data centres. */
    val count: Int get() = room.sumOf { it.coerceAtLeast(0) }

    /** Free slots of this data centre. */
    val localCount: Int get() = hashes.indices.sumOf { if (local[it]) room[it].coerceAtLeast(0) else 0 }

    /** Takes a slot of the least loaded target of this data centre; null if there is none. */
    fun take(): Int? = takeOf { local[it] }

    /** Takes a slot of another data centre; each collector leases only a part of those. */
    fun takeElsewhere(): Int? = if (budgetElsewhere-- > 0) takeOf { !local[it] } else null

    private fun takeOf(among: (Int) -> Boolean): Int? {
        val chosen = hashes.indices.filter { among(it) && room[it] > 0 }.minByOrNull(::fill) ?: return null
        room[chosen]--
        taken[chosen]++
        return hashes[chosen]
    }

    /** Requests for each slot, where a prompt that will arrive weighs more than a response that is being written. */
    private fun fill(index: Int) = (load(index).weight + taken[index] * PROMPT_WEIGHT) / of.targets[index].slots

    private fun load(index: Int) = of.loads[hashes[index]] ?: TargetLoad.NONE

    private fun elsewhere(index: Int) = of.reservedElsewhere[hashes[index]] ?: 0

    private companion object {
        /** One of so many free slots of the other data centres is leased here in a round. */
        const val PART_ELSEWHERE = 2

        /** Weight of a request that a lease will bring. */
        const val PROMPT_WEIGHT = 2.4
    }
}
