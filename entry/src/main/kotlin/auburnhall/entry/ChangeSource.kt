/*
 * Where a process gets the store's changes from: the store itself, or another process that has them.
 */
package auburnhall.entry

import auburnhall.core.KeyValueStore
import auburnhall.core.StoreCallback
import auburnhall.core.StoreChanges
import com.github.michaelbull.result.map

/** Changes with what is known of their age. */
class ChangeBatch(
    val changes: StoreChanges,
    /** Time, in milliseconds, since the source last knew that it had missed nothing. */
    val ageMs: Long,
    /** Whether the source lately lost the store, so that leases may have lapsed without a cause of their own. */
    val storeWasAway: Boolean,
)

/** Supplies changes. Control thread only. */
interface ChangeSource {
    /** The process that supplies them; null for the store. */
    val peer: String?

    /** Changes after [revision]; empty when there is none for [waitMs]. */
    fun changes(
        revision: Long,
        waitMs: Long,
        done: StoreCallback<ChangeBatch>,
    )
}

/** Watches all keys of [store]. */
class StoreChangeSource(
    private val store: KeyValueStore,
) : ChangeSource {
    override val peer: String? = null

    override fun changes(
        revision: Long,
        waitMs: Long,
        done: StoreCallback<ChangeBatch>,
    ) = store.watch("", revision, waitMs) { result ->
        done(result.map { ChangeBatch(it, ageMs = 0, storeWasAway = false) })
    }
}
