/*
 * What the owner of ledger shards works with.
 */
package auburnhall.ledger

import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.ProcessId
import auburnhall.store.KeyValueStore
import kotlin.random.Random

/** [self] is this entry process. The state of the shards is kept on [loop]. */
data class LedgerContext(
    val self: ProcessId,
    val store: KeyValueStore,
    val loop: ControlLoop,
    val clock: Clock,
    val random: Random,
    val listener: LedgerListener = LedgerListener.NONE,
) {
    /** A random delay before a call to the store that failed is repeated. */
    internal fun retryDelayMillis(): Long = MIN_RETRY_MILLIS + random.nextLong(MAX_RETRY_MILLIS - MIN_RETRY_MILLIS)

    private companion object {
        const val MIN_RETRY_MILLIS = 200L
        const val MAX_RETRY_MILLIS = 1_000L
    }
}
