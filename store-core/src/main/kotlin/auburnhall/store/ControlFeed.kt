/*
 * The one watch that a process holds on the control keys, with the reads that begin it and repair it. After a loss the
 * keys are read again after a random delay, so that many processes do not ask a recovering store at the same moment.
 */
package auburnhall.store

import auburnhall.core.ControlLoop
import kotlin.random.Random

/** Is told of the control keys, on the control thread. */
interface ControlFeedListener {
    /** [entries] are all control keys as of [storeRevision]; what was known before and is not among them is gone. */
    fun onSnapshot(
        entries: List<StoreEntry>,
        storeRevision: Long,
    )

    /** [entry] was written after the last snapshot. */
    fun onPut(entry: StoreEntry)

    /** [key] was deleted after the last snapshot. */
    fun onDelete(key: String)

    /** The store cannot be read or watched; another snapshot follows once it can. Called again for each failed try. */
    fun onLost(message: String)
}

/** Keeps its listeners informed of everything under [Keys.CONTROL]. */
interface ControlFeed : AutoCloseable {
    /** Begins with a snapshot. To be called once. */
    fun start()

    /** Ends the watch; nothing more is reported. */
    override fun close()
}

/** Returns a [ControlFeed] that has not been started. */
fun ControlFeed(
    store: KeyValueStore,
    loop: ControlLoop,
    random: Random,
    listeners: List<ControlFeedListener>,
): ControlFeed = RealControlFeed(store, loop, random, listeners)

internal class RealControlFeed(
    private val store: KeyValueStore,
    private val loop: ControlLoop,
    private val random: Random,
    private val listeners: List<ControlFeedListener>,
) : ControlFeed {
    private var closed = false
    private var watch: Watch? = null

    /** Numbers the watches, so that late events of an earlier one are recognised. */
    private var round = 0L
    private var failures = 0

    override fun start() = loop.execute { read() }

    override fun close() =
        loop.execute {
            closed = true
            endWatch()
        }

    private fun read() {
        if (closed) return
        loop.call({ store.list(Keys.CONTROL) }) { result ->
            when (result) {
                is ReadResult.Success -> onRead(result)
                is ReadResult.Error -> onFailure(result.message)
            }
        }
    }

    private fun onRead(result: ReadResult.Success) {
        if (closed) return
        listeners.forEach { it.onSnapshot(result.entries, result.storeRevision) }
        round += 1
        val events = RoundListener(round)
        loop.call({ store.watch(Keys.CONTROL, result.storeRevision, events) }) { onWatching(it, events) }
        loop.after(STABLE_MILLIS) { if (events.isCurrent()) failures = 0 }
    }

    private fun onWatching(
        opened: Watch,
        events: RoundListener,
    ) {
        if (events.isCurrent() && !closed) watch = opened else opened.close()
    }

    private fun onFailure(message: String) {
        if (closed) return
        endWatch()
        listeners.forEach { it.onLost(message) }
        failures += 1
        loop.after(delayMillis()) { read() }
    }

    private fun endWatch() {
        round += 1
        watch?.close()
        watch = null
    }

    /** Anywhere up to a bound that doubles with each failure in a row. */
    private fun delayMillis(): Long {
        val doublings = minOf(failures - 1, MAX_DOUBLINGS)
        return random.nextLong(FIRST_DELAY_MILLIS shl doublings) + MIN_DELAY_MILLIS
    }

    private inner class RoundListener(
        private val ofRound: Long,
    ) : WatchListener {
        fun isCurrent() = ofRound == round

        override fun onPut(entry: StoreEntry) = ifCurrent { listeners.forEach { it.onPut(entry) } }

        override fun onDelete(key: String) = ifCurrent { listeners.forEach { it.onDelete(key) } }

        override fun onLost(message: String) = ifCurrent { onFailure(message) }

        private fun ifCurrent(event: () -> Unit) = loop.execute { if (isCurrent() && !closed) event() }
    }

    private companion object {
        const val MIN_DELAY_MILLIS = 50L
        const val FIRST_DELAY_MILLIS = 1_000L
        const val MAX_DOUBLINGS = 2
        const val STABLE_MILLIS = 10_000L
    }
}
