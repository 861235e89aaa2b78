/*
 * Totals of load, waiting requests and leased slots: how a collector adds them up and how a process takes them over.
 */
package auburnhall.entry

import auburnhall.routing.LoadCollector
import auburnhall.routing.LoadTracker

/** Computes totals from what [collector] and [leases] hold. Traffic thread only. */
internal class LoadTotals(
    private val loadTracker: LoadTracker,
    private val collector: LoadCollector,
    private val leases: LeaseExchange,
) {
    /** The total of this data centre, where this process has [own]. */
    fun local(own: ReportContent) =
        ReportContent(
            collector.dataCentreTotal(own.loads),
            collector.dataCentreWaiting(own.waiting),
            leases.reservedHere(),
        )

    /** The total of all data centres; [local] is the one of this data centre. */
    fun system(local: ReportContent) =
        ReportContent(
            collector.systemTotal(local.loads),
            collector.systemWaiting(local.waiting),
            leases.reservedEverywhere(),
        )

    /** This process reported [own], which the next totals include. */
    fun onReportSent(own: ReportContent) {
        loadTracker.aggregate.onReportSent(own.loads)
        loadTracker.waiting.onReportSent(own.waiting)
    }

    /** Takes over [total], the latest total of the collector. */
    fun apply(total: ReportContent) {
        loadTracker.aggregate.onTotal(total.loads)
        loadTracker.waiting.onTotal(total.waiting)
        total.reserved?.let(loadTracker.leases::onReserved)
    }
}
