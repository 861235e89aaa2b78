/*
 * Decides which parts of prompts are quarantined: connects the evidence and the quarantine with what other processes
 * report.
 */
package auburnhall.routing

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.Scheduler
import auburnhall.core.log

/** Sends what this process observes about prompt parts to the other processes. */
interface PartReporter {
    /** [crash] has cast suspicion on [parts]. */
    fun crashed(
        parts: List<PromptPart>,
        crash: PartCrash,
    )

    /** A request with [part] was served [ageMs] milliseconds ago. */
    fun served(
        part: PromptPart,
        ageMs: Long,
    )

    /** [part] was quarantined by this process. */
    fun quarantined(part: QuarantinedPart)

    companion object {
        /** Reports nothing. */
        val NONE =
            object : PartReporter {
                override fun crashed(
                    parts: List<PromptPart>,
                    crash: PartCrash,
                ) = Unit

                override fun served(
                    part: PromptPart,
                    ageMs: Long,
                ) = Unit

                override fun quarantined(part: QuarantinedPart) = Unit
            }
    }
}

/** Clock, scheduler and random fractions from 0 to 1. */
class PartGuardRuntime(
    val clock: Clock,
    val scheduler: Scheduler,
    val jitter: () -> Double,
)

/** Evidence, verdicts and quarantine of prompt parts. Traffic thread only. */
class PartVerdicts(
    private val runtime: PartGuardRuntime,
    private val listener: EventListener,
) {
    private val clock = runtime.clock
    private var deciding = false
    internal val evidence = CrashEvidence(clock, runtime.jitter)
    internal val quarantine = PartQuarantine(clock)
    internal val servedReports =
        ServedReports(runtime, evidence.servedParts) { part, age -> reporter.served(part, age) }

    /** Receives what other processes should know; set before the first request. */
    var reporter: PartReporter = PartReporter.NONE

    /** Called after a part was quarantined. */
    var onQuarantined: () -> Unit = {}

    /** The quarantined parts. May be read on any thread. */
    val quarantined: List<QuarantinedPart> get() = quarantine.snapshot

    /** Decides soon which parts are quarantined, and again and again while there is evidence. */
    internal fun decideSoon() {
        if (deciding) return
        deciding = true
        runtime.scheduler.after(DECISION_PERIOD_MS) { decide() }
    }

    private fun decide() {
        deciding = false
        evidence.condemned()?.let { condemned ->
            val added = quarantine.add(condemned)
            announce(added, "own")
            reporter.quarantined(added)
        }
        if (evidence.suspectedParts > 0) decideSoon()
    }

    /** Quarantines [part] as [source], another process or the store, does; not if it was served here. */
    fun adopt(
        part: QuarantinedPart,
        source: String,
    ) {
        val servedAtMs = evidence.servedParts.lastAtMs(part.part)
        if (servedAtMs != null && part.isRefutedBy(servedAtMs)) {
            servedReports.onSuspected(part.part)
        } else if (quarantine.adopt(part)) {
            announce(part, source)
        }
    }

    /** A request with [part] was served at [servedAtMs]: ends its quarantine if that refutes it. */
    internal fun releaseServed(
        part: PromptPart,
        servedAtMs: Long,
    ) {
        val known = quarantine.find(listOf(part)) ?: return
        if (!known.isRefutedBy(servedAtMs)) return
        quarantine.release(part, clock.nowMs())
        listener.log("part.released", "part" to part, "cause" to "served")
    }

    /** An operator or the controller has removed the quarantine of [part]. */
    fun release(part: PromptPart) {
        evidence.drop(part)
        if (quarantine.release(part, clock.nowMs())) listener.log("part.released", "part" to part, "cause" to "removed")
    }

    /** Forgets the parts whose time has come; called periodically. */
    fun expire() =
        quarantine.expire().forEach {
            listener.log("part.released", "part" to it.part, "cause" to "expired", "refusals" to it.refusals)
        }

    private fun announce(
        part: QuarantinedPart,
        source: String,
    ) {
        evidence.resolve(part.part)
        listener.log(
            "part.quarantined",
            "part" to part.part,
            "crashes" to part.crashes,
            "age_ms" to clock.nowMs() - part.sinceMs,
            "source" to source,
        )
        onQuarantined()
    }

    private companion object {
        const val DECISION_PERIOD_MS = 100L
    }
}
