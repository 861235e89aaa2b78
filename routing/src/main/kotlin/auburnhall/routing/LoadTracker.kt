/*
 * How much work each target has: our own requests at once, those of the other processes as they last told, each for
 * itself or, where there are many, added up by a collector. A prompt
 * that is not read yet weighs more than an answer that is being written, since reading holds up all other requests of
 * a replica.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Work at one target. */
data class TargetLoad(
    /** Requests in progress. */
    val requests: Int,
    /** Prompt tokens of those whose first event has not come. */
    val unreadTokens: Int,
) {
    /** The work in units of one request that is being answered. */
    val weight: Double get() = requests + unreadTokens / TOKENS_PER_REQUEST

    operator fun plus(other: TargetLoad) = TargetLoad(requests + other.requests, unreadTokens + other.unreadTokens)

    companion object {
        val NONE = TargetLoad(0, 0)

        /** Prompt tokens whose reading delays a replica about as much as an answer does from begin to end. */
        private const val TOKENS_PER_REQUEST = 500.0
    }
}

/** Work by target. Used on the traffic thread only. */
class LoadTracker(
    private val clock: Clock,
) {
    private val own = HashMap<TargetKey, TargetLoad>()
    private val told = HashMap<String, ToldLoad>()

    /** The work that a collector added up. */
    val aggregate = AggregateLoad(clock)

    /** Our work, by the hash of the target's key; targets without any are left out. */
    fun ownLoads(): LoadsByHash = own.entries.associate { it.key.text.hashCode() to it.value }

    /** A request with a prompt of [unreadTokens] was sent to [key]. */
    fun begin(
        key: TargetKey,
        unreadTokens: Int,
    ) = change(key, TargetLoad(1, unreadTokens))

    /** The prompt of a request at [key] was read. */
    fun onPromptRead(
        key: TargetKey,
        tokens: Int,
    ) = change(key, TargetLoad(0, -tokens))

    /** A request at [key] ended, of whose prompt [unreadTokens] were not known to be read. */
    fun end(
        key: TargetKey,
        unreadTokens: Int,
    ) = change(key, TargetLoad(-1, -unreadTokens))

    /** The process [peer] has the work [loads], by the hash of the target's key. */
    fun onPeerReport(
        peer: String,
        loads: LoadsByHash,
    ) {
        told[peer] = ToldLoad(loads, clock.nowMs() + TOLD_VALID_MS)
    }

    /** Work at [key], over all processes that told lately. */
    fun total(key: TargetKey): TargetLoad {
        val now = clock.nowMs()
        val hash = key.text.hashCode()
        val ours = own[key] ?: TargetLoad.NONE
        return ours + (aggregate.others(hash, now) ?: othersTold(hash, now))
    }

    private fun othersTold(
        hash: Int,
        now: Long,
    ): TargetLoad {
        var others = TargetLoad.NONE
        for (peer in told.values) {
            if (peer.validUntil > now) peer.loads[hash]?.let { others += it }
        }
        return others
    }

    private fun change(
        key: TargetKey,
        by: TargetLoad,
    ) {
        val after = (own[key] ?: TargetLoad.NONE) + by
        if (after.requests > 0) own[key] = after else own.remove(key)
    }

    internal class ToldLoad(
        val loads: LoadsByHash,
        val validUntil: Long,
    )

    internal companion object {
        /** Several of the periods in which processes repeat their load. */
        const val TOLD_VALID_MS = 1_500L
    }
}

/** The work of all processes as a collector added it up. Traffic thread only. */
class AggregateLoad(
    private val clock: Clock,
) {
    private var sum = LoadTracker.ToldLoad(emptyMap(), Long.MIN_VALUE)
    private var reported: LoadsByHash = emptyMap()

    /** Our work was reported as [loads] and is part of the next sums. */
    fun onReportSent(loads: LoadsByHash) {
        reported = loads
    }

    /** The work of all processes, this one as it last reported, is [loads]. */
    fun onTotal(loads: LoadsByHash) {
        sum = LoadTracker.ToldLoad(loads, clock.nowMs() + LoadTracker.TOLD_VALID_MS)
    }

    /** Work of the others at the target with the key's hash [hash]; null when no collector told lately. */
    internal fun others(
        hash: Int,
        now: Long,
    ): TargetLoad? {
        if (sum.validUntil <= now) return null
        val all = sum.loads[hash] ?: TargetLoad.NONE
        val ours = reported[hash] ?: TargetLoad.NONE
        return TargetLoad(
            (all.requests - ours.requests).coerceAtLeast(0),
            (all.unreadTokens - ours.unreadTokens).coerceAtLeast(0),
        )
    }
}
