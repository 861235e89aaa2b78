/*
 * Which parts of prompts were served, and when processes tell each other about it.
 */
package auburnhall.routing

/** When a request with each part was last served. Traffic thread only. */
class ServedParts {
    private val atMs = LinkedHashMap<PromptPart, Long>()

    /** A target began at [servedAtMs] to respond to a request with [part], and did not crash. */
    fun onServed(
        part: PromptPart,
        servedAtMs: Long,
    ) {
        atMs[part] = maxOf(servedAtMs, atMs.remove(part) ?: Long.MIN_VALUE)
        if (atMs.size > MAX_PARTS) atMs.remove(atMs.keys.first())
    }

    /** When [part] was last served, in milliseconds of the monotonic clock; null if that is not known. */
    fun lastAtMs(part: PromptPart): Long? = atMs[part]

    private companion object {
        /** Parts that are remembered; beyond, the one served longest ago is forgotten. */
        const val MAX_PARTS = 1_024
    }
}

/** Reports that suspected parts were served here, unless another process does so before. Traffic thread only. */
internal class ServedReports(
    private val runtime: PartGuardRuntime,
    private val served: ServedParts,
    private val send: (part: PromptPart, ageMs: Long) -> Unit,
) {
    private val clock = runtime.clock
    private val pending = HashMap<PromptPart, Long>()

    /** [part] is suspected: reports when it was served, unless that is not known or too long ago. */
    fun onSuspected(part: PromptPart) {
        val servedAtMs = served.lastAtMs(part) ?: return
        if (clock.nowMs() - servedAtMs > CrashEvidence.TRUSTED_MS) return
        val isPending = pending.put(part, servedAtMs) != null
        if (!isPending) runtime.scheduler.after((runtime.jitter() * MAX_DELAY_MS).toLong()) { report(part) }
    }

    /** Another process reported that [part] was served at [servedAtMs]. */
    fun onReported(
        part: PromptPart,
        servedAtMs: Long,
    ) {
        val ours = pending[part] ?: return
        if (ours <= servedAtMs + MARGIN_MS) pending.remove(part)
    }

    private fun report(part: PromptPart) {
        pending.remove(part)?.let { send(part, clock.nowMs() - it) }
    }

    private companion object {
        /** Longest delay of a report, so that one of many processes with the same one suffices. */
        const val MAX_DELAY_MS = 150.0

        /** A report is not sent when another process sent one that is at most this much older. */
        const val MARGIN_MS = 500L
    }
}
