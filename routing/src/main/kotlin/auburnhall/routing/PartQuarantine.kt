/*
 * The parts of prompts that crash workers: requests with such a part are refused. A part is forgotten once no request
 * with it has come for some time, at the latest after a day, or when the table is full and it was refused longest ago.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** A part whose requests are refused. Times are milliseconds of the monotonic clock. */
data class QuarantinedPart(
    val part: PromptPart,
    /** Number of targets that crashed before it was quarantined. */
    val crashes: Int,
    /** When the first of them crashed. */
    val sinceMs: Long,
    /** When it is forgotten, unless a request with it comes before. */
    val untilMs: Long,
    /** Whether it is quarantined although it was served shortly before the first crash. */
    val servedBefore: Boolean = false,
    /** Requests that this process has refused. */
    val refusals: Long = 0,
) {
    /** Whether a request with the part served at [atMs] shows that it crashes no workers, or may have been unknown. */
    fun isRefutedBy(atMs: Long): Boolean = atMs > if (servedBefore) sinceMs else sinceMs - CrashEvidence.TRUSTED_MS
}

/** Keeps the quarantined parts. Traffic thread only, except [snapshot]. */
class PartQuarantine(
    private val clock: Clock,
) {
    private val parts = LinkedHashMap<PromptPart, QuarantinedPart>()
    private val releasedAtMs = LinkedHashMap<PromptPart, Long>()

    /** The quarantined parts as of the last change. May be read on any thread. */
    @Volatile
    var snapshot: List<QuarantinedPart> = emptyList()
        private set

    /** Quarantines the part of [condemned], which crashed targets that this process or its peers observed. */
    fun add(condemned: CondemnedPart): QuarantinedPart {
        val now = clock.nowMs()
        val sinceMs = now - condemned.ageMs
        val added =
            QuarantinedPart(condemned.part, condemned.crashes, sinceMs, now + IDLE_MS, condemned.servedBefore)
        put(added)
        return added
    }

    /** Adds or merges [reported] by another process; false if it is known, or was released after its first crash. */
    fun adopt(reported: QuarantinedPart): Boolean {
        val known = parts[reported.part]
        val now = clock.nowMs()
        if (isReleased(reported) || reported.untilMs <= now) return false
        val sinceMs = minOf(known?.sinceMs ?: Long.MAX_VALUE, reported.sinceMs)
        val latestMs = minOf(sinceMs + MAX_AGE_MS, now + IDLE_MS)
        val merged =
            reported.copy(
                crashes = maxOf(known?.crashes ?: 0, reported.crashes),
                sinceMs = sinceMs,
                untilMs = minOf(latestMs, maxOf(known?.untilMs ?: 0, reported.untilMs)),
                refusals = known?.refusals ?: 0,
            )
        put(merged)
        return known == null
    }

    /** Whether [reported] was released here after its first crash. */
    fun isReleased(reported: QuarantinedPart): Boolean =
        releasedAtMs[reported.part]?.let { it >= reported.sinceMs } == true

    /** The quarantined part among [requested]; null if there is none. */
    fun find(requested: Collection<PromptPart>): QuarantinedPart? {
        if (parts.isEmpty()) return null
        return requested.firstNotNullOfOrNull { parts[it] }
    }

    /** A request with [part] was refused, so that it is kept for longer. */
    fun onRefused(part: PromptPart) {
        val known = parts[part] ?: return
        val untilMs = minOf(clock.nowMs() + IDLE_MS, known.sinceMs + MAX_AGE_MS)
        put(known.copy(untilMs = maxOf(known.untilMs, untilMs), refusals = known.refusals + 1))
    }

    /** Serves requests with [part] again, whatever was known up to [atMs]; returns whether it was quarantined. */
    fun release(
        part: PromptPart,
        atMs: Long,
    ): Boolean {
        releasedAtMs.remove(part)
        releasedAtMs[part] = atMs
        if (releasedAtMs.size > MAX_PARTS) releasedAtMs.remove(releasedAtMs.keys.first())
        val removed = parts.remove(part) != null
        snapshot = parts.values.toList()
        return removed
    }

    /** Forgets the parts whose time has come; returns them. */
    fun expire(): List<QuarantinedPart> {
        val now = clock.nowMs()
        val expired = parts.values.filter { it.untilMs <= now }
        expired.forEach { parts.remove(it.part) }
        if (expired.isNotEmpty()) snapshot = parts.values.toList()
        return expired
    }

    private fun put(updated: QuarantinedPart) {
        parts.remove(updated.part)
        if (parts.size >= MAX_PARTS) parts.remove(parts.keys.first())
        parts[updated.part] = updated
        snapshot = parts.values.toList()
    }

    companion object {
        /** Time without a request after which a part is forgotten. */
        const val IDLE_MS = 600_000L

        /** Time after the first crash after which a part is forgotten although requests come. */
        const val MAX_AGE_MS = 86_400_000L

        /** Quarantined parts; beyond, the one refused or added longest ago is forgotten. */
        const val MAX_PARTS = 64
    }
}
