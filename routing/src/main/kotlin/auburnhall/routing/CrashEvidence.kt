/*
 * Finds the part of a prompt that crashes each worker that begins to respond to it. Designed for fleets in which many
 * processes each see a few of the crashes: what one observes, it reports to all. A crash breaks off every request at
 * the target, so all shared parts of those that had not begun are suspected; a part is acquitted by any request with it
 * that is served, and condemned only if several targets crashed under several requests and none was served meanwhile.
 * Of parts that the same crashes suspect, the one with most crashes is condemned first, which clears the others.
 * While everything fails at once nothing is condemned that is part of most requests, or was served shortly before and
 * has not been told apart by other requests since.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** A part that crashes workers. */
data class CondemnedPart(
    val part: PromptPart,
    /** Number of targets that crashed. */
    val crashes: Int,
    /** Time, in milliseconds, since the first of the crashes. */
    val ageMs: Long,
    /** Whether it is condemned although it was served shortly before, as far as was known. */
    val servedBefore: Boolean,
)

/** Collects crashes and served requests by part. Traffic thread only. */
class CrashEvidence(
    private val clock: Clock,
    /** Random fraction from 0 to 1 by which processes are kept from reaching the same verdict at the same time. */
    private val jitter: () -> Double,
) {
    private val records = LinkedHashMap<PromptPart, PartCrashes>()
    private val explained = LinkedHashSet<TargetKey>()

    /** When parts were last served. */
    val servedParts = ServedParts()

    /** Number of parts with crashes. */
    val suspectedParts: Int get() = records.size

    /** A request with [parts] for [served] was received. */
    fun onRequest(
        parts: Collection<PromptPart>,
        served: String,
    ) = records.forEach { (part, record) -> if (record.served == served) record.onRequest(part in parts) }

    /** Records [crash] with a request that has [parts]; returns those that are suspected by it. */
    fun onCrash(
        parts: List<PromptPart>,
        crash: PartCrash,
    ): List<PromptPart> {
        if (crash.target in explained) return emptyList()
        val now = clock.nowMs()
        val suspected = parts.filter { now - (servedParts.lastAtMs(it) ?: Long.MIN_VALUE / 2) > RECENTLY_SERVED_MS }
        suspected.forEach { record(it, parts.indexOf(it), crash, now) }
        return suspected
    }

    /**
     * Records that a target began at [beganAtMs] to respond to a request with [parts] and did not crash; returns the
     * parts that were suspected.
     */
    fun onServed(
        parts: Collection<PromptPart>,
        served: String,
        beganAtMs: Long,
    ): List<PromptPart> {
        records.forEach { (part, record) -> if (record.served == served && part !in parts) record.onServedWithout() }
        return parts.filter { acquit(it, beganAtMs) }
    }

    /** Records that [part] was served at [atMs], here or by another process; returns whether it was suspected. */
    fun acquit(
        part: PromptPart,
        atMs: Long,
    ): Boolean {
        servedParts.onServed(part, atMs)
        val record = records[part] ?: return false
        record.acquit(atMs)
        if (record.crashes == 0) records.remove(part)
        return true
    }

    /** Whether one of [parts] is suspected of the crash of a target other than [target]. */
    fun isSuspected(
        parts: Collection<PromptPart>,
        target: TargetKey,
    ): Boolean = parts.any { records[it]?.hasOtherThan(target) == true }

    /** Drops the evidence against [part]. */
    fun drop(part: PromptPart) {
        records.remove(part)
    }

    /** [part] is quarantined: it explains the crashes that it is suspected of. */
    fun resolve(part: PromptPart) {
        records.remove(part)?.let { explain(it.targets) }
    }

    /** The crashes of [targets] have a known cause, so that no other part is suspected of them. */
    fun explain(targets: Set<TargetKey>) {
        explained.addAll(targets)
        while (explained.size > MAX_EXPLAINED_TARGETS) explained.remove(explained.first())
        records.values.forEach { it.explain(targets) }
        records.values.removeIf { it.crashes == 0 }
    }

    /** The part that crashes workers, by what is known now; null if none can be told. */
    fun condemned(): CondemnedPart? {
        val now = clock.nowMs()
        records.values.removeIf { now - it.lastAtMs > MAX_AGE_MS }
        val trusted = records.filterKeys { part -> servedParts.lastAtMs(part)?.let { now - it < TRUSTED_MS } == true }
        val jitterMs = (jitter() * OBJECTION_JITTER_MS).toLong()
        val (part, record) =
            records.entries.firstOrNull { (part, record) ->
                val rivals = if (part in trusted) records else records - trusted.keys
                record.isConclusive(now - jitterMs, part in trusted) &&
                    rivals.none { it.key != part && it.value.precedes(record) }
            } ?: return null
        return CondemnedPart(part, record.crashes, now - record.firstAtMs, part in trusted)
    }

    private fun record(
        part: PromptPart,
        position: Int,
        crash: PartCrash,
        now: Long,
    ) {
        if (part !in records && records.size >= MAX_PARTS) records.remove(records.minBy { it.value.lastAtMs }.key)
        records.getOrPut(part) { PartCrashes(crash.served, position) }.add(crash, now)
    }

    companion object {
        /** Time after the last crash after which evidence is forgotten. */
        const val MAX_AGE_MS = 600_000L

        /** Parts with evidence; beyond, the one whose last crash is oldest is forgotten. */
        const val MAX_PARTS = 256

        /** Targets whose crash is explained, beyond which the first one is forgotten. */
        private const val MAX_EXPLAINED_TARGETS = 256

        /** A crash this soon after a part was served does not count against it. */
        private const val RECENTLY_SERVED_MS = 1_000L

        /** Random part of the time for objections. */
        private const val OBJECTION_JITTER_MS = 150L

        /** A part that was served less than this ago is condemned only if others are served meanwhile. */
        const val TRUSTED_MS = 60_000L
    }
}
