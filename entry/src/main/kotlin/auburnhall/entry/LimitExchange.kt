/*
 * Exchanges the limits that workers name between the processes. A change is sent to all, together with others of the
 * same moment; what is known is repeated to a few, so that it reaches processes that missed a datagram or have started
 * later.
 */
package auburnhall.entry

import auburnhall.core.EventListener
import auburnhall.core.log
import auburnhall.routing.NamedColdness
import auburnhall.routing.NamedLimit
import auburnhall.routing.TargetKey
import auburnhall.routing.WorkerLimits
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

private const val WORKER = 1
private const val MILLI_PER_SECOND = 2
private const val AGE_MS = 3
private const val REMAINING_MS = 2
private const val MILLI = 1_000.0

/** What a worker stated about its limit, as reported to other processes. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ReportedLimit(
    @ProtoNumber(WORKER) val worker: String,
    /** Thousandths of a request per second; null for no limit. */
    @ProtoNumber(MILLI_PER_SECOND) val milliPerSecond: Long? = null,
    /** Time, in milliseconds, since the worker stated it. */
    @ProtoNumber(AGE_MS) val ageMs: Long = 0,
) {
    /** The limit, where the report was received at [nowMs]. */
    fun toNamed(nowMs: Long) = NamedLimit(TargetKey(worker), milliPerSecond?.let { it / MILLI }, nowMs - ageMs)

    companion object {
        /** Reports [limit] at [nowMs]. */
        fun of(
            limit: NamedLimit,
            nowMs: Long,
        ) = ReportedLimit(limit.worker.text, limit.perSecond?.let { (it * MILLI).toLong() }, nowMs - limit.atMs)
    }
}

/** What a worker stated about its coldness, as reported to other processes. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ReportedColdness(
    @ProtoNumber(WORKER) val worker: String,
    @ProtoNumber(REMAINING_MS) val remainingMs: Long = 0,
) {
    /** The coldness, where the report was received at [nowMs]. */
    fun toNamed(nowMs: Long) = NamedColdness(TargetKey(worker), nowMs + remainingMs, nowMs)

    companion object {
        /** Reports [coldness] at [nowMs]. */
        fun of(
            coldness: NamedColdness,
            nowMs: Long,
        ) = ReportedColdness(coldness.worker.text, coldness.untilMs - nowMs)
    }
}

/** Sends the limits that [process] knows and passes those received to [limits]. Traffic thread only. */
class LimitExchange(
    private val process: String,
    private val runtime: PeerRuntime,
    private val limits: WorkerLimits,
    private val sender: PeerSender,
    private val events: EventListener,
) {
    private val changed = LinkedHashMap<TargetKey, NamedLimit>()
    private var peers: Set<String> = emptySet()

    /** Starts to send; call once. */
    fun start() {
        limits.onChange = ::onChange
        limits.cold?.onNamed = ::sendColdness
        repeatKnown()
    }

    /** Replaces the other processes by [names]. */
    fun onPeers(names: Set<String>) {
        val added = names - peers
        peers = names
        send(limits.named, added)
    }

    /** Handles the limits that another process has [reported]. */
    fun onReport(reported: List<ReportedLimit>) {
        val now = runtime.clock.nowMs()
        reported.forEach { limits.onReported(it.toNamed(now)) }
    }

    /** Handles what workers stated about their coldness, as another process has [reported]. */
    fun onColdness(reported: List<ReportedColdness>) {
        val now = runtime.clock.nowMs()
        reported.forEach { limits.cold?.onReported(it.toNamed(now)) }
    }

    /** Not repeated: a process that misses it learns it from the worker's entry or from the worker. */
    private fun sendColdness(coldness: NamedColdness) {
        val reported = listOf(ReportedColdness.of(coldness, runtime.clock.nowMs()))
        if (peers.isNotEmpty()) sender.send(PeerMessage(process, replica = "", coldness = reported), peers)
    }

    private fun onChange(limit: NamedLimit) {
        events.log("worker.limited", "worker" to limit.worker.text, "per_second" to (limit.perSecond ?: "none"))
        if (changed.isEmpty()) runtime.scheduler.after(COLLECT_MS, ::sendChanged)
        changed[limit.worker] = limit
    }

    private fun sendChanged() {
        send(changed.values.toList(), peers)
        changed.clear()
    }

    private fun repeatKnown() {
        limits.expire()
        send(limits.named, peers.shuffled(runtime.random).take(REPEAT_TO_PEERS))
        runtime.scheduler.after(REPEAT_PERIOD_MS, ::repeatKnown)
    }

    /** Sent as the status of no replica, which builds that do not know these reports ignore. */
    private fun send(
        named: List<NamedLimit>,
        names: Collection<String>,
    ) {
        if (names.isEmpty()) return
        val now = runtime.clock.nowMs()
        named.chunked(MAX_PER_MESSAGE).forEach { chunk ->
            val reported = chunk.map { ReportedLimit.of(it, now) }
            sender.send(PeerMessage(process, replica = "", limits = reported), names)
        }
    }

    private companion object {
        /** Changes within this time are sent together. */
        const val COLLECT_MS = 20L

        /** A part of the time within which all processes must know a limit. */
        const val REPEAT_PERIOD_MS = 500L

        /** Processes to which the limits are repeated each time. */
        const val REPEAT_TO_PEERS = 2

        /** Keeps datagrams within the size that networks carry unfragmented. */
        const val MAX_PER_MESSAGE = 24
    }
}
