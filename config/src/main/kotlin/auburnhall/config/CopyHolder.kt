/*
 * The copy itself and the control feed's part in keeping it new.
 */
package auburnhall.config

import auburnhall.core.ProcessId
import auburnhall.store.ControlFeedListener
import auburnhall.store.Keys
import auburnhall.store.StoreEntry

/** Holds the newest copy. Changed on the control thread only; read on any. */
internal class CopyHolder(
    private val on: ConfigDependencies,
) : ControlFeedListener {
    val answers = VoterAnswers()

    @Volatile var copy: ConfigCopy? = null
        private set

    /** The sequence of the copy; 0 when there is none. */
    val sequence: Long get() = copy?.stored?.sequence ?: 0

    /** Takes [stored] over, which was the newest at [confirmedAt] if that is known. */
    fun adopt(
        stored: StoredConfiguration,
        confirmedAt: Long?,
    ) {
        copy = copy.after(stored, confirmedAt)
        confirmByVoters()
    }

    /** A copy equal to the one held was the newest at [atMillis]. */
    fun confirm(atMillis: Long) {
        copy = copy?.confirmed(atMillis)
    }

    /** Confirms the copy as far as the voters' answers allow. */
    fun confirmByVoters() {
        val held = copy ?: return
        val now = on.clock.monotonicMillis()
        answers
            .confirmedAt(
                held.stored,
                on.membership
                    .view()
                    .self.process,
                now,
            )?.let { confirm(it) }
    }

    /** The highest sequence that [process], which may be this one, is known to know. */
    fun sequenceOf(process: ProcessId): Long =
        if (process ==
            on.membership
                .view()
                .self.process
        ) {
            sequence
        } else {
            answers.sequenceOf(process)
        }

    override fun onSnapshot(
        entries: List<StoreEntry>,
        storeRevision: Long,
    ) = entries.forEach { onPut(it) }

    /** The feed lags by an unknown time, so what it shows is newer, but not known to be the newest. */
    override fun onPut(entry: StoreEntry) {
        if (entry.key != Keys.CONFIGURATION) return
        StoredConfiguration.decode(entry.value)?.let { adopt(it, null) }
    }

    override fun onDelete(key: String) = Unit

    override fun onLost(message: String) = Unit
}
