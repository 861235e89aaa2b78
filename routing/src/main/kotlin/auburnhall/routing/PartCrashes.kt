/*
 * The crashes that one part of a prompt may have caused. Several requests may have been at a target when it crashed, of
 * which at most one caused it; a part that served requests share is acquitted by them.
 */
package auburnhall.routing

/** A target that crashed before the response to [request] was well under way. */
data class PartCrash(
    val target: TargetKey,
    val request: String,
    /** What the target served, see [Target.served]. */
    val served: String,
)

/** Evidence against one part, since a request with it was last served. Traffic thread only. */
internal class PartCrashes(
    /** What the target of the first crash served; only requests for the same are compared. */
    val served: String,
    /** Position in the prompt; parts of later positions are shared by fewer requests. */
    private val position: Int,
) {
    private val byTarget = LinkedHashMap<TargetKey, CrashedTarget>()
    private val requests: Set<String> get() = byTarget.values.flatMapTo(HashSet()) { it.requests }
    private val isEnough: Boolean get() = byTarget.size >= MIN_TARGETS && requests.size >= MIN_REQUESTS

    /** Requests received since the first crash: with the part, and without it. */
    private var requestsWith = 0
    private var requestsWithout = 0

    /** Requests without the part that were served since the first crash. */
    private var servedWithout = 0

    /** As above, when the last crash became known. */
    private var servedWithoutBeforeLast = 0

    /** When the last crash became known, in milliseconds of the monotonic clock. */
    var lastAtMs = 0L
        private set

    /** When there were first enough crashes for a verdict; null before. */
    private var enoughAtMs: Long? = null

    /** When the first crash became known, in milliseconds of the monotonic clock. */
    val firstAtMs: Long get() = byTarget.values.minOfOrNull { it.atMs } ?: lastAtMs

    /** Number of targets that crashed. */
    val crashes: Int get() = byTarget.size

    /** The targets that crashed. */
    val targets: Set<TargetKey> get() = byTarget.keys

    /** Adds [crash], known since [atMs]; false if it was known before. */
    fun add(
        crash: PartCrash,
        atMs: Long,
    ): Boolean {
        val known = byTarget[crash.target]
        val isNew = if (known == null) addTarget(crash, atMs) else known.requests.add(crash.request)
        if (enoughAtMs == null && isEnough) enoughAtMs = atMs
        return isNew
    }

    /** A request arrived, [hasPart] says whether with the part. */
    fun onRequest(hasPart: Boolean) {
        if (hasPart) requestsWith++ else requestsWithout++
    }

    /** A request without the part was served. */
    fun onServedWithout() {
        servedWithout++
    }

    /** Whether a target other than [target] crashed. */
    fun hasOtherThan(target: TargetKey): Boolean = byTarget.keys.any { it != target }

    /**
     * Whether [other] is not to be condemned before this part, which as many or more crashes suspect, or of equal parts
     * of the same requests is the more specific one. Once one of two is condemned, it explains the crashes of both.
     */
    fun precedes(other: PartCrashes): Boolean =
        when {
            byTarget.keys.none { it in other.byTarget } -> false
            crashes != other.crashes -> crashes > other.crashes
            requests == other.requests ->
                compareValuesBy(this, other, { it.requestsWith }, { -it.position }) < 0
            else -> true
        }

    /**
     * Whether the part crashes targets, by what is known at [now]; [servedBefore] says whether a request with it was
     * served shortly before the crashes. Other processes had time to object, and enough requests come without the part
     * to tell it from what all of them share.
     */
    fun isConclusive(
        now: Long,
        servedBefore: Boolean,
    ): Boolean {
        val waitedMs = now - (enoughAtMs ?: return false)
        val isDistinctive =
            requestsWithout >= MIN_OTHER_REQUESTS && requestsWith <= MAX_REQUESTS_PER_OTHER * requestsWithout
        val conclusive =
            if (servedBefore) {
                crashes >= MIN_TARGETS_IF_SERVED &&
                    servedWithoutBeforeLast >= MIN_SERVED_WITHOUT &&
                    waitedMs >= TRUSTED_OBJECTION_MS
            } else {
                waitedMs >= OBJECTION_MS
            }
        return isDistinctive && conclusive
    }

    /** The crashes of [targets] have another cause. */
    fun explain(targets: Set<TargetKey>) {
        byTarget.keys.removeAll(targets)
        if (!isEnough) enoughAtMs = null
    }

    /** A target began to respond to a request with the part at [atMs] and did not crash: drops earlier crashes. */
    fun acquit(atMs: Long) {
        byTarget.values.removeIf { it.atMs <= atMs }
        if (!isEnough) enoughAtMs = null
    }

    private fun addTarget(
        crash: PartCrash,
        atMs: Long,
    ): Boolean {
        if (byTarget.size >= MAX_TARGETS) byTarget.remove(byTarget.keys.first())
        byTarget[crash.target] = CrashedTarget(atMs, hashSetOf(crash.request))
        lastAtMs = atMs
        servedWithoutBeforeLast = servedWithout
        return true
    }

    private class CrashedTarget(
        val atMs: Long,
        val requests: HashSet<String>,
    )

    private companion object {
        /** Crashed targets for a verdict: more than independent failures make likely. */
        const val MIN_TARGETS = 3

        /** As above for a part that was served before. */
        const val MIN_TARGETS_IF_SERVED = 5

        /** Different requests for a verdict; one that is retried proves little about each of its parts. */
        const val MIN_REQUESTS = 2

        /** Crashed targets that are remembered of one part. */
        const val MAX_TARGETS = 16

        /** Requests without the part, below which its share is unknown. */
        const val MIN_OTHER_REQUESTS = 3

        /** Requests with the part for each without it. */
        const val MAX_REQUESTS_PER_OTHER = 3

        /** Time for other processes to report that they serve the part. */
        const val OBJECTION_MS = 300L

        /** As above for a part that was served before: another part may explain the crashes until then. */
        const val TRUSTED_OBJECTION_MS = 2_000L

        /** Requests without the part served between its crashes, which tell them from one failure of everything. */
        const val MIN_SERVED_WITHOUT = 3
    }
}
