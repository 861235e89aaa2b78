/*
 * How much work each target has: our own requests at once, those of the other processes as they last told. A prompt
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
class LoadBook(
    private val clock: Clock,
) {
    private val own = HashMap<TargetKey, TargetLoad>()
    private val told = HashMap<String, ToldLoad>()

    /** Our work, by target; targets without any are left out. */
    fun own(): Map<TargetKey, TargetLoad> = own

    /** A request with a prompt of [unreadTokens] was sent to [key]. */
    fun begin(
        key: TargetKey,
        unreadTokens: Int,
    ) = change(key, TargetLoad(1, unreadTokens))

    /** The prompt of a request at [key] was read. */
    fun onRead(
        key: TargetKey,
        tokens: Int,
    ) = change(key, TargetLoad(0, -tokens))

    /** A request at [key] ended, of whose prompt [unreadTokens] were not known to be read. */
    fun end(
        key: TargetKey,
        unreadTokens: Int,
    ) = change(key, TargetLoad(-1, -unreadTokens))

    /** The process [peer] has the work [loads], by the hash of the target's key. */
    fun onTold(
        peer: String,
        loads: Map<Int, TargetLoad>,
    ) {
        told[peer] = ToldLoad(loads, clock.nowMs() + TOLD_VALID_MS)
    }

    /** Work at [key], over all processes that told lately. */
    fun total(key: TargetKey): TargetLoad {
        val now = clock.nowMs()
        val hash = key.text.hashCode()
        var sum = own[key] ?: TargetLoad.NONE
        for (peer in told.values) {
            if (peer.validUntil > now) peer.loads[hash]?.let { sum += it }
        }
        return sum
    }

    private fun change(
        key: TargetKey,
        by: TargetLoad,
    ) {
        val after = (own[key] ?: TargetLoad.NONE) + by
        if (after.requests > 0) own[key] = after else own.remove(key)
    }

    private class ToldLoad(
        val loads: Map<Int, TargetLoad>,
        val validUntil: Long,
    )

    private companion object {
        /** Several of the periods in which processes repeat their load. */
        const val TOLD_VALID_MS = 1_500L
    }
}
