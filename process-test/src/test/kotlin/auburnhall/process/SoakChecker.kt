/*
 * Judges a day by what was seen at the ends of the connections alone. A call is only judged where no fault that the day
 * made explains it: a process that was killed or stood still, a worker that broke off or stalled, and for streams of
 * replicas, and for lateness, the time in which the soak itself stood still.
 */
package auburnhall.process

import java.util.concurrent.TimeUnit

/** What a finding breaks. */
enum class SoakRule {
    MIXED,
    REFUSED_BUT_RUN,
    TWICE,
    ORDER,
    LOST,
    LOST_UNSENT,
    LOST_AFTER_STRAY,
    CONFIG,
    UNASKED,
    COLD,
    EVACUATED,
}

/** One breach of [rule] by request [id]. */
data class Finding(
    val seed: Int,
    val rule: SoakRule,
    val id: String,
    val fault: FaultKind?,
    val detail: String,
) {
    override fun toString() = "seed=$seed rule=$rule request=$id fault=${fault ?: "none"} $detail"
}

/** Checks [record]. */
class SoakChecker(
    private val record: SoakRecord,
) {
    private val runs = record.runs.groupBy { it.id }
    private val events = Regex("id: (\\d+)\ndata: ([^\n]*)\n\n")

    /** All findings. */
    fun findings(): List<Finding> {
        val unasked = record.unasked.map { (id, detail) -> Finding(record.seed, SoakRule.UNASKED, id, null, detail) }
        return unasked + overloaded() + evacuated() +
            record.calls.flatMap { call -> SoakRule.entries.filter { breaks(it, call) }.map { found(it, call) } }
    }

    /** Workers that got more requests in a second of the cold time after their start than they bear. */
    private fun overloaded(): List<Finding> =
        record.lives.mapNotNull { (worker, startNanos) ->
            val begun =
                record.runs.filter { it.worker == worker }.map { it.beginNanos - startNanos }.filter {
                    it <
                        COLD_NANOS
                }
            val most = begun.maxOfOrNull { first -> begun.count { it in first until first + SECOND_NANOS } } ?: 0
            val detail = "$most requests in a second, bound ${ColdRate.BOUND}"
            if (most < ColdRate.BOUND) null else Finding(record.seed, SoakRule.COLD, worker, null, detail)
        }

    /** Calls that failed with 502 or 504 though each worker that ran them gave a whole answer; no rule forbids it. */
    fun replaced(): List<String> =
        record.calls
            .filter { it.status in FAILURES && !excused(it) }
            .filter { call -> runsOf(call).isEmpty() || runsOf(call).all { it.end == RunEnd.WHOLE && it.status == OK } }
            .map { "replaced ${it.id} $it; runs ${runsOf(it)}" }

    private fun found(
        rule: SoakRule,
        call: SoakCall,
    ): Finding {
        val last = record.faults.filter { it.atNanos <= call.endNanos && (it.process ?: call.process) == call.process }
        val fault = last.maxByOrNull { it.atNanos }
        val ms = fault?.let { TimeUnit.NANOSECONDS.toMillis(call.endNanos - it.atNanos) }
        val detail = "$call; runs ${runsOf(call)}; last fault ${fault?.kind} ${fault?.detail} $ms ms before"
        return Finding(record.seed, rule, call.id, fault?.kind, detail)
    }

    /** Runs at workers in data centres whose evacuation had to be in force. */
    private fun evacuated(): List<Finding> =
        record.evacuations.flatMap { evacuation ->
            val inForce = inForceNanos(evacuation) until evacuation.untilNanos
            record.runs
                .filter { it.beginNanos in inForce && record.dataCentres[it.worker] == evacuation.dataCentre }
                .map { Finding(record.seed, SoakRule.EVACUATED, it.id, FaultKind.EVACUATION, "$it") }
        }

    /** The bound counts from when the store answers, if it was in trouble. */
    private fun inForceNanos(evacuation: SoakEvacuation): Long {
        val boundNanos = TimeUnit.MILLISECONDS.toNanos(EntryProcessHandle.EVACUATE_MS)
        val from = evacuation.fromNanos
        return record.storeTroubles.sortedBy { it.first }.fold(from + boundNanos) { inForce, (begin, end) ->
            if (begin < inForce && end > from) maxOf(inForce, end + boundNanos) else inForce
        }
    }

    private fun runsOf(call: SoakCall) = runs[call.id].orEmpty()

    private fun breaks(
        rule: SoakRule,
        call: SoakCall,
    ): Boolean =
        when (rule) {
            SoakRule.MIXED -> isMixed(call)
            SoakRule.REFUSED_BUT_RUN -> isDenied(call)
            SoakRule.TWICE -> isTwice(call)
            SoakRule.ORDER -> isDisordered(call)
            SoakRule.LOST -> isLost(call, afterStray = false)
            SoakRule.LOST_AFTER_STRAY -> isLost(call, afterStray = true)
            SoakRule.LOST_UNSENT -> isLostUnsent(call)
            SoakRule.CONFIG -> isLate(call)
            SoakRule.UNASKED, SoakRule.COLD, SoakRule.EVACUATED -> false
        }

    private fun isDenied(call: SoakCall) = call.status in PROMISES && runsOf(call).any { it.executed }

    private fun isTwice(call: SoakCall) = call.route == SoakRoute.ORDERS && runsOf(call).count { it.executed } > 1

    private fun isMixed(call: SoakCall): Boolean {
        val foreign = call.answerId.isNotEmpty() && call.answerId != call.id
        val wrong =
            when {
                call.end == CallEnd.GARBLED -> true
                call.status != OK -> false
                call.route.streaming -> runsOf(call).none { it.status == OK } || hasForeignEvents(call)
                call.end != CallEnd.ANSWERED -> false
                else -> runsOf(call).none { it.status == OK && it.body == Digest.of(call.body) }
            }
        return foreign || wrong
    }

    private fun hasForeignEvents(call: SoakCall) =
        events.findAll(call.body).any { it.groupValues[2] != "${call.id}/${it.groupValues[1]}" }

    private fun isDisordered(call: SoakCall): Boolean {
        val numbers = events.findAll(call.body).map { it.groupValues[1].toInt() }.toList()
        val ended = call.end == CallEnd.ANSWERED
        val complete = runsOf(call).any { it.end == RunEnd.WHOLE && it.lastEvent == numbers.size }
        val wrong = numbers != (1..numbers.size).toList() || (ended && !complete)
        return call.route.streaming && call.status == OK && wrong
    }

    private fun unanswered(call: SoakCall) =
        call.end == CallEnd.CLOSED || call.end == CallEnd.RESET || call.end == CallEnd.CUT

    private fun isLost(
        call: SoakCall,
        afterStray: Boolean,
    ): Boolean {
        val sound = runsOf(call).isNotEmpty() && runsOf(call).all { it.end in SOUND_ENDS && it.fault != "CLOSE" }
        val judged = unanswered(call) && inTime(call) && !excused(call) && !call.behindBroken
        return judged && sound && runsOf(call).any { it.afterStray } == afterStray
    }

    /** A request that was read, as the time shows, and that no worker got. */
    private fun isLostUnsent(call: SoakCall): Boolean {
        val fresh = call.end == CallEnd.CLOSED || call.end == CallEnd.RESET
        val waited = call.tookMs - call.slowMs > UNREAD_MS
        return fresh && waited && runsOf(call).isEmpty() && !excused(call) && !call.behindBroken && inTime(call)
    }

    private fun inTime(call: SoakCall) = call.tookMs < if (call.route.streaming) DEADLINE_MS else timeoutOf(call)

    private fun excused(call: SoakCall): Boolean {
        val killed = call.endNanos >= call.process.killedNanos
        val frozen = call.process.frozenNanos.any { it < call.endNanos && call.sentNanos < it + AFTER_FREEZE_NANOS }
        return killed || frozen || (call.route == SoakRoute.CHAT && besideStandstill(call))
    }

    /** Whether the soak's own workers stood still during [call]. */
    fun besideStandstill(call: SoakCall) =
        record.standstills.any { (from, to) -> from < call.endNanos && call.sentNanos < to }

    /** The longest time-out of the route that may be in force. */
    private fun timeoutOf(call: SoakCall): Long {
        val versions = record.timeouts.filter { it.first <= call.endNanos }
        val before = versions.lastOrNull { it.first <= call.sentNanos - APPLY_NANOS }
        return (versions.filter { it.first > call.sentNanos - APPLY_NANOS } + listOfNotNull(before)).maxOf { it.second }
    }

    private fun isLate(call: SoakCall): Boolean {
        val waitedMs = TimeUnit.NANOSECONDS.toMillis(call.endNanos - call.turnNanos) - call.slowMs
        val late = !call.route.streaming && waitedMs > timeoutOf(call) + LATE_MS
        return late && !excused(call) && !besideStandstill(call) && !call.behindBroken
    }

    private companion object {
        const val OK = 200
        val PROMISES = listOf(408, 421, 429, 503)
        val FAILURES = listOf(502, 504)
        val SOUND_ENDS = listOf(RunEnd.WHOLE, RunEnd.CALLER_LEFT, RunEnd.RUNNING)
        const val DEADLINE_MS = 7_800L
        const val UNREAD_MS = 1_000L
        const val LATE_MS = 500L
        val COLD_NANOS = TimeUnit.MILLISECONDS.toNanos(ColdRate.DURATION_MS)
        val SECOND_NANOS = TimeUnit.SECONDS.toNanos(1)
        val APPLY_NANOS = TimeUnit.SECONDS.toNanos(3)
        val AFTER_FREEZE_NANOS = TimeUnit.SECONDS.toNanos(3)
    }
}
