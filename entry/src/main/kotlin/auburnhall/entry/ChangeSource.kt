/*
 * Sources of the store's changes: the store itself, or another process that relays them.
 */
package auburnhall.entry

import auburnhall.core.KeyValueStore
import auburnhall.core.StoreCallback
import auburnhall.core.StoreChanges
import com.github.michaelbull.result.map

/** Changes and how up to date their source was when it sent them. */
class ChangeBatch(
    val changes: StoreChanges,
    /** Time, in milliseconds, since the source was last known to have all changes of the store. */
    val ageMs: Long,
    /** Whether the store is or recently was unavailable to the source, so that leases of live owners may expire. */
    val storeWasUnavailable: Boolean,
    /** The era of the store in which the changes were made. */
    val era: Long,
)

/** Supplies changes on request. Control thread only. */
interface ChangeSource {
    /** The name of the process that supplies them; null for the store. */
    val peer: String?

    /** Passes the changes that [poll] asks for to [done]; an empty list if there is none within its wait. */
    fun changes(
        poll: RelayPoll,
        done: StoreCallback<ChangeBatch>,
    )
}

/** Watches all keys of [store]. */
class StoreChangeSource(
    private val store: KeyValueStore,
) : ChangeSource {
    override val peer: String? = null

    override fun changes(
        poll: RelayPoll,
        done: StoreCallback<ChangeBatch>,
    ) = store.watch("", poll.from.revision, poll.waitMs) { result ->
        done(result.map { ChangeBatch(it, ageMs = 0, storeWasUnavailable = false, era = store.era) })
    }
}
