/*
 * Adds up the load reports of the processes of a data centre, and the totals from the collectors of the other data
 * centres.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Keeps the load reports and totals that are still valid. Traffic thread only. */
class LoadCollector(
    private val clock: Clock,
) {
    private val reportsByProcess = HashMap<String, ReceivedLoad>()
    private val totalsByDataCentre = HashMap<String, ReceivedLoad>()

    /** Whether another process has recently reported its load to this one. */
    val hasReports: Boolean get() = valid(reportsByProcess).isNotEmpty()

    /** The process [name] reported the load [loads]. */
    fun onReport(
        name: String,
        loads: LoadsByHash,
    ) {
        reportsByProcess[name] = ReceivedLoad(loads, clock.nowMs())
    }

    /** The collector of [dataCentre], not the one of this process, reported the total [loads]. */
    fun onDataCentreTotal(
        dataCentre: String,
        loads: LoadsByHash,
    ) {
        totalsByDataCentre[dataCentre] = ReceivedLoad(loads, clock.nowMs())
    }

    /** The total of the load reports received and of [own], the load of this process. */
    fun dataCentreTotal(own: LoadsByHash): LoadsByHash = add(valid(reportsByProcess) + own)

    /** The total of all data centres; [local] is the total of this one. */
    fun systemTotal(local: LoadsByHash): LoadsByHash = add(valid(totalsByDataCentre) + local)

    private fun valid(received: HashMap<String, ReceivedLoad>): List<LoadsByHash> {
        val now = clock.nowMs()
        received.values.removeIf { !it.isValid(now) }
        return received.values.map { it.loads }
    }

    private companion object {
        fun add(loads: List<LoadsByHash>): LoadsByHash {
            val sum = HashMap<Int, TargetLoad>()
            loads.forEach { byHash -> byHash.forEach { (hash, load) -> sum.merge(hash, load, TargetLoad::plus) } }
            return sum
        }
    }
}
