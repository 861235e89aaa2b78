/*
 * Keeps this process's own registration in the platform's store.
 */
package auburnhall.membership

import auburnhall.core.ControlLoop
import auburnhall.store.ABSENT
import auburnhall.store.KeyValueStore
import auburnhall.store.Keys
import auburnhall.store.StoreEntry
import auburnhall.store.WriteResult
import kotlinx.serialization.json.Json
import kotlin.random.Random

/** Writes and deletes the key of [self]. Used on the control thread only. */
internal class Registration(
    private val self: Member,
    private val loop: ControlLoop,
    private val store: KeyValueStore,
    private val random: Random,
) {
    private val key = Keys.member(self.process)
    private val value = Json.encodeToString(Member.serializer(), self).encodeToByteArray()
    private var writing = false
    private var stopped = false
    private var revision = ABSENT

    /** Registers at once. */
    fun start() = write()

    /** The store shows [entry] under the key of this process. */
    fun onOwnEntry(entry: StoreEntry) {
        revision = entry.revision
    }

    /** The store shows no registration of this process. */
    fun onMissing() {
        revision = ABSENT
        if (!stopped) loop.after(jitterMillis()) { write() }
    }

    /** Deletes the registration; [onDone] is told whether the store confirmed it. */
    fun stop(onDone: (Boolean) -> Unit) {
        stopped = true
        loop.call({ store.compareAndDelete(key, revision) }) { result -> onDone(result is WriteResult.Success) }
    }

    private fun write() {
        if (writing || stopped || revision != ABSENT) return
        writing = true
        loop.call({ store.compareAndSwap(key, ABSENT, value) }) { onWritten(it) }
    }

    private fun onWritten(result: WriteResult) {
        writing = false
        when (result) {
            is WriteResult.Success -> revision = result.revision
            is WriteResult.Conflict -> result.current?.let { revision = it.revision }
            is WriteResult.Unknown, is WriteResult.Refused -> loop.after(jitterMillis()) { write() }
        }
    }

    private fun jitterMillis() = random.nextLong(RETRY_MILLIS) + RETRY_MILLIS

    private companion object {
        const val RETRY_MILLIS = 1_000L
    }
}
