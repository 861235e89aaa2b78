/*
 * Load news of every data centre, passed on along a tree so that no process sends it to more than a few others. The
 * root is the process that polls the engines; every other process asks its parent and answers its children with what it
 * has.
 */
package auburnhall.peer

import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.DataCentreId
import auburnhall.core.ProcessId
import auburnhall.core.Step
import auburnhall.core.every
import auburnhall.membership.Member
import auburnhall.membership.MembershipView
import auburnhall.proto.peer.FetchLoadRequest
import auburnhall.proto.peer.LoadReport
import auburnhall.replica.DataCentreLoad

/** What the load news needs of the process. [onLoad] is called on the control thread. */
data class LoadNewsPorts(
    val channels: PeerChannels,
    val loop: ControlLoop,
    val clock: Clock,
    val membership: () -> MembershipView,
    /** The report made here, when this process polls the engines of the data centre. */
    val ownReport: (DataCentreId) -> DataCentreLoad?,
    /** The process that polls the engines of the data centre; null when none is known. */
    val reporter: (DataCentreId) -> ProcessId?,
    val onLoad: (DataCentreLoad, madeAtMillis: Long) -> Unit,
)

/** Fetches and passes on load news. A control-thread object, but for [answer]. */
class LoadNews(
    private val ports: LoadNewsPorts,
) {
    private data class Known(
        val load: DataCentreLoad,
        val madeAtMillis: Long,
    )

    @Volatile
    private var known = emptyMap<DataCentreId, Known>()
    private val asking = HashSet<DataCentreId>()
    private var dataCentres = emptySet<DataCentreId>()

    /** Begins to ask. */
    fun start() = ports.loop.every(PERIOD_MILLIS) { dataCentres.forEach { refresh(it) } }

    /** Names the data centres that have engines. */
    fun onDataCentres(dataCentres: Set<DataCentreId>) {
        this.dataCentres = dataCentres
    }

    /** Answers a peer; any thread. */
    fun answer(request: FetchLoadRequest): LoadReport {
        val dataCentre = DataCentreId(request.dataCentre)
        val now = ports.clock.monotonicMillis()
        val own = ports.ownReport(dataCentre)?.takeIf { it.controller }
        val load = own ?: known[dataCentre]?.let { aged(it, now) }
        return (load ?: DataCentreLoad(dataCentre, controller = false, asOfMillis = now)).toMessage()
    }

    private fun refresh(dataCentre: DataCentreId) {
        val own = ports.ownReport(dataCentre)
        val parent = parent(ports.membership(), dataCentre, ports.reporter(dataCentre))
        if (own != null && (own.controller || parent == null)) {
            take(own, own.asOfMillis)
        } else if (parent != null && asking.add(dataCentre)) {
            ask(dataCentre, parent)
        }
    }

    private fun ask(
        dataCentre: DataCentreId,
        parent: Member,
    ) {
        val sentAt = ports.clock.monotonicMillis()
        val request = FetchLoadRequest.newBuilder().setDataCentre(dataCentre.value).build()
        ports.loop.call({
            ports.channels.call(parent.peerAddress, Step.ROUTE, TIMEOUT_MILLIS) { it.fetchLoad(request) }
        }) { result ->
            asking -= dataCentre
            if (result is PeerResult.Success) take(result.value.toLoad(sentAt), sentAt)
        }
    }

    private fun take(
        load: DataCentreLoad,
        madeAtMillis: Long,
    ) {
        if (!load.controller) return
        known = known + (load.dataCentre to Known(load, madeAtMillis))
        ports.onLoad(load, madeAtMillis)
    }

    /** A report that was passed on grows older by the time it has been held here. */
    private fun aged(
        known: Known,
        nowMillis: Long,
    ) = known.load.copy(asOfMillis = known.madeAtMillis).asOf(nowMillis)

    private companion object {
        const val PERIOD_MILLIS = 500L
        const val TIMEOUT_MILLIS = 1_000L
    }
}

/** Most processes that ask one process for the news of one data centre. */
internal const val LOAD_FANOUT = 6

/**
 * The process to ask for the news of [dataCentre], null for the root. The root is [reporter] if it is active; processes
 * of the data centre follow it, in their order of responsibility for its table.
 */
internal fun parent(
    view: MembershipView,
    dataCentre: DataCentreId,
    reporter: ProcessId?,
): Member? {
    val ranked = view.ranked("table/${dataCentre.value}")
    val (near, far) = ranked.partition { it.dataCentre == dataCentre }
    val order = (near + far).sortedByDescending { it.process == reporter }
    val index = order.indexOfFirst { it.process == view.self.process }
    return if (index <= 0) null else order[(index - 1) / LOAD_FANOUT]
}
