/*
 * Exchanges reports about parts of prompts between the processes. Crashes and verdicts are sent to all at once. While
 * parts are quarantined, each process repeats them to a few others, so that one that missed a datagram, was cut off or
 * has started again learns of them soon, also while the store is down.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Scheduler
import auburnhall.routing.PartCrash
import auburnhall.routing.PartGuard
import auburnhall.routing.PartReporter
import auburnhall.routing.PromptPart
import auburnhall.routing.QuarantinedPart
import kotlin.random.Random

/** Time, scheduler and randomness of the traffic thread. */
class PeerRuntime(
    val clock: Clock,
    val scheduler: Scheduler,
    val random: Random,
    val sightings: StoreSightings = StoreSightings(clock),
)

/** Sends the reports of [process] and passes those received to [guard]. Traffic thread only. */
class PartExchange(
    private val process: String,
    private val runtime: PeerRuntime,
    private val guard: PartGuard,
    private val sender: PeerSender,
) : PartReporter {
    private val clock = runtime.clock
    private val verdicts = guard.verdicts
    private var peers: Set<String> = emptySet()

    /** Called with the quarantined parts, now and then and when one was added. */
    var onQuarantined: (List<QuarantinedPart>) -> Unit = {}

    /** Starts to repeat quarantined parts; call once. */
    fun start() {
        verdicts.reporter = this
        repeatQuarantined()
    }

    /** Replaces the other processes by [names]. */
    fun onPeers(names: Set<String>) {
        val added = names - peers
        peers = names
        sendQuarantined(verdicts.quarantined, added)
    }

    override fun crashed(
        parts: List<PromptPart>,
        crash: PartCrash,
    ) = parts.chunked(MAX_PARTS_PER_MESSAGE).forEach { chunk ->
        val reported = chunk.map { ReportedPart(it.id) }
        val report = PartReport(PartReportKind.CRASHED, reported, crash.target.text, crash.request, crash.served)
        send(report, peers)
    }

    override fun served(
        part: PromptPart,
        ageMs: Long,
    ) = send(PartReport(PartReportKind.SERVED, listOf(ReportedPart(part.id, ageMs = ageMs))), peers)

    override fun quarantined(part: QuarantinedPart) {
        sendQuarantined(listOf(part), peers)
        onQuarantined(verdicts.quarantined)
    }

    /** Handles [report] of the process [sender]. */
    fun onReport(
        sender: String,
        report: PartReport,
    ) = when (report.kind) {
        PartReportKind.CRASHED -> guard.onReportedCrash(report.parts.map { PromptPart(it.id) }, report.crash)
        PartReportKind.SERVED -> report.parts.forEach { guard.onReportedServed(PromptPart(it.id), it.ageMs) }
        PartReportKind.QUARANTINED -> {
            val now = clock.nowMs()
            report.parts.forEach { verdicts.adopt(it.toQuarantined(now), sender) }
        }
    }

    private fun repeatQuarantined() {
        verdicts.expire()
        val quarantined = verdicts.quarantined
        onQuarantined(quarantined)
        sendQuarantined(quarantined, peers.shuffled(runtime.random).take(REPEAT_TO_PEERS))
        runtime.scheduler.after(REPEAT_PERIOD_MS, ::repeatQuarantined)
    }

    private fun sendQuarantined(
        parts: List<QuarantinedPart>,
        names: Collection<String>,
    ) {
        val now = clock.nowMs()
        parts.chunked(MAX_PARTS_PER_MESSAGE).forEach { chunk ->
            send(PartReport(PartReportKind.QUARANTINED, chunk.map { ReportedPart.of(it, now) }), names)
        }
    }

    /** Sent as the status of no replica, which builds that do not know these reports ignore. */
    private fun send(
        report: PartReport,
        names: Collection<String>,
    ) = sender.send(PeerMessage(process, replica = "", partReport = report), names)

    private companion object {
        /** A part of the time within which a process that was cut off must know the quarantined parts. */
        const val REPEAT_PERIOD_MS = 500L

        /** Processes to which quarantined parts are repeated each time; each hears of them from as many on average. */
        const val REPEAT_TO_PEERS = 2

        /** Keeps datagrams within the size that networks carry unfragmented. */
        const val MAX_PARTS_PER_MESSAGE = 16
    }
}
