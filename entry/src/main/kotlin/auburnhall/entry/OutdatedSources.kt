/*
 * Selects whom a process asks whose state is too old: a parent again, then other processes, and the store when its turn
 * comes. The store may be unavailable to all, and the processes must not all ask it; or just to those that this one
 * takes changes from, and then any other process can have a recent state.
 */
package auburnhall.entry

import auburnhall.core.log

/** Asks the processes of [parents] and [store]. Control thread only. */
internal class OutdatedSources(
    private val context: ControlContext,
    private val parents: RelayParents,
    private val store: ChangeSource,
) {
    private val turns = StoreTurns(context.clock, context.random)
    private var asksParent = false
    private var answeredAtMs: Long? = null
    private var storeUntilMs = 0L

    /** Whether the state was too old at the last selection. */
    val active: Boolean get() = turns.begun

    /** Whether to stay with the store, since a parent did not respond and other parents may be lost as well. */
    val staysWithStore: Boolean get() = context.clock.nowMs() < storeUntilMs

    /** The source to ask for a recent state; that of this process has the age [ageMs]. */
    fun next(ageMs: Long): SelectedSource = if (active) nextInTurn() else first(ageMs)

    /** The state is recent. */
    fun clear() {
        if (active) context.events.log("state.recent")
        turns.clear()
    }

    /** Another process answered. */
    fun onAnswered() {
        answeredAtMs = context.clock.nowMs()
    }

    /** The parent that was asked again did not respond in time, so nothing is known of the store. */
    fun onNoResponse() {
        turns.begin(spread = false)
        storeUntilMs = context.clock.nowMs() + STORE_STAY_MS
    }

    /** The store did not answer. */
    fun onStoreFailed() = turns.onUsed()

    private fun first(ageMs: Long): SelectedSource {
        val parent = parents.select()?.let(parents::sourceOf)
        context.events.log("state.outdated", "age_ms" to ageMs, "source" to parent?.peer)
        turns.begin(spread = parent != null && parents.level > 1)
        asksParent = false
        return if (parent == null) {
            nextInTurn()
        } else {
            SelectedSource(parent, outdated = true, timeoutMs = FIRST_TIMEOUT_MS)
        }
    }

    private fun nextInTurn(): SelectedSource {
        val dueInMs = turns.dueInMs(meanTurnMs())
        val peer = if (dueInMs == 0L) null else parents.sourceOf(nextPeer())
        if (peer != null) return SelectedSource(peer, outdated = true, waitMs = minOf(dueInMs, WAIT_MS))
        turns.onUsed()
        return SelectedSource(store)
    }

    private fun nextPeer(): String {
        val parent = if (asksParent) parents.select() else null
        asksParent = !asksParent
        return parent ?: parents.random()
    }

    /** Mean time between two turns: the levels of the relay tree share the calls to the store. */
    private fun meanTurnMs(): Long {
        val level = parents.level
        val sharing = if (level == 1) RelayTree.FAN_OUT else parents.others
        val meanMs = if (level == 0) ROOT_TURN_MS else sharing * StoreTurns.SPACING_MS
        val connected = answeredAtMs?.let { context.clock.nowMs() - it < CONNECTED_MS } == true
        return if (connected) meanMs else minOf(meanMs, MAX_ISOLATED_TURN_MS)
    }

    private companion object {
        /** Time for a parent to say whether its state is recent: many round trips, and a short stall. */
        const val FIRST_TIMEOUT_MS = 100L

        /** Time for which the store is asked after a parent did not respond. */
        const val STORE_STAY_MS = 1_000L

        /** Longest wait at a process that has no recent state either. */
        const val WAIT_MS = 300L

        /** Mean time between the calls of the controller, on which the others wait, to a store that does not answer. */
        const val ROOT_TURN_MS = 500L

        /** Longest mean time between the calls of a process that reaches no other: it learns nothing otherwise. */
        const val MAX_ISOLATED_TURN_MS = 1_800L

        /** Time after an answer of another process for which this one counts as connected to the others. */
        const val CONNECTED_MS = 1_500L
    }
}
