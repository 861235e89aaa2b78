/*
 * Tracks the load of each target: the requests of this process immediately, those of the other processes as last
 * reported, either by each process or, where there are many, as a total from a collector. A prompt that has not been
 * read yet weighs more than a response that is being generated, since reading a prompt delays all other requests of a
 * replica.
 */
package auburnhall.routing

import auburnhall.core.Clock

/** Load of one target. */
data class TargetLoad(
    /** Requests in progress. */
    val requests: Int,
    /** Prompt tokens of the requests whose first event has not arrived. */
    val unreadTokens: Int,
) {
    /** The load in units of one request whose response is being generated. */
    val weight: Double get() = requests + unreadTokens / TOKENS_PER_REQUEST

    operator fun plus(other: TargetLoad) = TargetLoad(requests + other.requests, unreadTokens + other.unreadTokens)

    companion object {
        val NONE = TargetLoad(0, 0)

        /** Number of prompt tokens that delays a replica about as much as generating one whole response. */
        private const val TOKENS_PER_REQUEST = 500.0
    }
}

/** Load by target. Used on the traffic thread only. */
class LoadTracker(
    private val clock: Clock,
) {
    private val ownByKey = HashMap<TargetKey, TargetLoad>()
    private val reportsByPeer = HashMap<String, ReceivedLoad>()

    /** Called when the load of this process has changed. */
    var onOwnChange: () -> Unit = {}

    /** Moving average of the load that a request is when it is sent, in the unit of [TargetLoad.weight]. */
    var typicalWeight = 1.0
        private set

    /** The load as totalled by the collector. */
    val aggregate = AggregateLoad(clock)

    /** Load of this process by the hash of the target's key; targets without load are left out. */
    fun ownLoads(): LoadsByHash = ownByKey.entries.associate { it.key.text.hashCode() to it.value }

    /** A request with a prompt of [unreadTokens] tokens was sent to [key]. */
    fun begin(
        key: TargetKey,
        unreadTokens: Int,
    ) {
        val sent = TargetLoad(1, unreadTokens)
        typicalWeight += (sent.weight - typicalWeight) * TYPICAL_WEIGHT_SHARE
        change(key, sent)
    }

    /** The target [key] has read the prompt of a request. */
    fun onPromptRead(
        key: TargetKey,
        tokens: Int,
    ) = change(key, TargetLoad(0, -tokens))

    /** A request at [key] ended; [unreadTokens] tokens of its prompt were not known to have been read. */
    fun end(
        key: TargetKey,
        unreadTokens: Int,
    ) = change(key, TargetLoad(-1, -unreadTokens))

    /** The process [peer] reported the load [loads], by the hash of the target's key. */
    fun onPeerReport(
        peer: String,
        loads: LoadsByHash,
    ) {
        reportsByPeer[peer] = ReceivedLoad(loads, clock.nowMs())
    }

    /** Load that this process puts on [key]. */
    fun own(key: TargetKey): TargetLoad = ownByKey[key] ?: TargetLoad.NONE

    /** Load of [key], over all processes with a recent report. */
    fun total(key: TargetKey): TargetLoad {
        val now = clock.nowMs()
        val hash = key.text.hashCode()
        return own(key) + (aggregate.others(hash, now) ?: reportedByOthers(hash, now))
    }

    private fun reportedByOthers(
        hash: Int,
        now: Long,
    ): TargetLoad {
        var others = TargetLoad.NONE
        for (report in reportsByPeer.values) {
            if (report.isValid(now)) report.loads[hash]?.let { others += it }
        }
        return others
    }

    private fun change(
        key: TargetKey,
        by: TargetLoad,
    ) {
        val updated = (ownByKey[key] ?: TargetLoad.NONE) + by
        if (updated.requests > 0) ownByKey[key] = updated else ownByKey.remove(key)
        onOwnChange()
    }

    private companion object {
        /** Share of the latest request in [typicalWeight]. */
        const val TYPICAL_WEIGHT_SHARE = 0.05
    }
}

/** The load of all processes as totalled by the collector. Traffic thread only. */
class AggregateLoad(
    private val clock: Clock,
) {
    private var total: ReceivedLoad? = null
    private var lastReported: LoadsByHash = emptyMap()

    /** This process reported the load [loads] to the collector, which includes it in the next totals. */
    fun onReportSent(loads: LoadsByHash) {
        lastReported = loads
    }

    /** The collector reported [loads] as the total of all processes, this one as it last reported. */
    fun onTotal(loads: LoadsByHash) {
        total = ReceivedLoad(loads, clock.nowMs())
    }

    /** Load that the other processes put on the target with the key hash [hash]; null without a recent total. */
    internal fun others(
        hash: Int,
        now: Long,
    ): TargetLoad? {
        val valid = total?.takeIf { it.isValid(now) } ?: return null
        val all = valid.loads[hash] ?: TargetLoad.NONE
        val ours = lastReported[hash] ?: TargetLoad.NONE
        return TargetLoad(
            (all.requests - ours.requests).coerceAtLeast(0),
            (all.unreadTokens - ours.unreadTokens).coerceAtLeast(0),
        )
    }
}
