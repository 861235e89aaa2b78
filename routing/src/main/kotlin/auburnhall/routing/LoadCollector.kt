/*
 * Adds up what the processes of a data centre report, and what the collectors of the others have added up.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Work by the hash of the target's key. */
typealias LoadsByHash = Map<Int, TargetLoad>

/** Sums of loads. Traffic thread only. */
class LoadCollector(
    private val clock: Clock,
) {
    private val reports = HashMap<String, Told>()
    private val sums = HashMap<String, Told>()

    /** Whether a process other than this one reports here. */
    val hasReports: Boolean get() = valid(reports).isNotEmpty()

    /** The process [name] has the work [loads]. */
    fun onReport(
        name: String,
        loads: LoadsByHash,
    ) {
        reports[name] = Told(loads, clock.nowMs() + VALID_MS)
    }

    /** The processes of [dataCentre], another one than this, have the work [loads]. */
    fun onDataCentreTotal(
        dataCentre: String,
        loads: LoadsByHash,
    ) {
        sums[dataCentre] = Told(loads, clock.nowMs() + VALID_MS)
    }

    /** The work that was reported here, with [own], that of this process. */
    fun dataCentreTotal(own: LoadsByHash): LoadsByHash = add(valid(reports) + own)

    /** The work of all data centres, where [local] is that of this one. */
    fun systemTotal(local: LoadsByHash): LoadsByHash = add(valid(sums) + local)

    private fun valid(told: HashMap<String, Told>): List<LoadsByHash> {
        val now = clock.nowMs()
        told.values.removeIf { it.validUntil <= now }
        return told.values.map { it.loads }
    }

    private class Told(
        val loads: LoadsByHash,
        val validUntil: Long,
    )

    private companion object {
        /** Several of the periods in which processes repeat their load. */
        const val VALID_MS = 1_500L

        fun add(loads: List<LoadsByHash>): LoadsByHash {
            val sum = HashMap<Int, TargetLoad>()
            loads.forEach { of -> of.forEach { (hash, load) -> sum.merge(hash, load, TargetLoad::plus) } }
            return sum
        }
    }
}
