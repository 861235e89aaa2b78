/*
 * Reads all items of the store, page by page. The pages may be some seconds old, which costs a tenth; the changes since
 * the oldest of them are then taken from another process or from the store, before anything is passed on. A load that
 * is started again, for example since the store was restored between two pages, replaces the one before.
 */
package auburnhall.entry

import auburnhall.core.StoreChange
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.core.StorePage
import auburnhall.core.StorePosition
import auburnhall.core.log
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** All items of the store; [ageMs] is the time, in milliseconds, since they were known to be complete up to [at]. */
class LoadedItems(
    val items: Map<String, StoreItem>,
    val at: StorePosition,
    val ageMs: Long,
)

/** The items of pages that can each show another moment. */
private class ReadPages {
    val items = LinkedHashMap<String, StoreItem>()

    /** The revision after which changes may be missing. */
    var oldest = Long.MAX_VALUE
        private set

    fun add(page: StorePage) {
        oldest = minOf(oldest, page.at)
        page.items.associateByTo(items) { it.key }
    }

    /** A page may be more recent than [change], which was then followed by what the page shows. */
    fun apply(change: StoreChange) {
        val known = items[change.key]
        when {
            known != null && known.revision >= change.revision -> Unit
            change is StoreChange.Put -> items[change.key] = change.item
            else -> items.remove(change.key)
        }
    }
}

/** Passes the items to [onLoaded]. Control thread only. */
internal class StoreLoader(
    private val context: ControlContext,
    private val availability: StoreAvailability,
    private val onLoaded: (LoadedItems) -> Unit,
) {
    private val store = StoreChangeSource(context.store)
    private var current: Load? = null

    /**
     * Starts a load, and again after each failure. [relayOf] gets the items of the pages and selects the process that
     * is asked for what they may lack; the store is asked if it is null or does not have that.
     */
    fun start(relayOf: (Map<String, StoreItem>) -> ChangeSource? = { null }) = start(relayOf, mayBeOld = true)

    private fun start(
        relayOf: (Map<String, StoreItem>) -> ChangeSource?,
        mayBeOld: Boolean,
    ) {
        current = Load(relayOf, mayBeOld).also { it.readAfter(null) }
    }

    private inner class Load(
        private val relayOf: (Map<String, StoreItem>) -> ChangeSource?,
        private val mayBeOld: Boolean,
    ) {
        private val read = ReadPages()
        private var storeAsked = false

        fun readAfter(key: String?) {
            context.store.range("", key, mayBeOld) { result ->
                if (current === this) result.onSuccess(::onPage).onFailure(::onPageFailed)
            }
        }

        /** After a restore, a page that may be old can be of the era before, which counts as no answer. */
        private fun onPageFailed(error: StoreError) {
            if (mayBeOld && error is StoreError.NoAnswer) {
                start(relayOf, mayBeOld = false)
            } else {
                availability.onError(error, ::retry)
            }
        }

        private fun retry() {
            if (current === this) start(relayOf, mayBeOld)
        }

        private fun onPage(page: StorePage) {
            availability.onAnswer()
            read.add(page)
            when {
                page.hasMore && page.items.isNotEmpty() -> readAfter(page.items.last().key)
                mayBeOld -> askRelay()
                else -> finish(read.oldest, ageMs = 0)
            }
        }

        private fun askRelay() {
            val relay = relayOf(read.items) ?: return askStore()
            val poll = RelayPoll(position(read.oldest), waitMs = 0, outdated = true, context.settings.dataCentre)
            relay.changes(poll) { result ->
                if (current === this && !storeAsked) {
                    result.onSuccess(::onRelayed).onFailure { askStore() }
                }
            }
            context.scheduler.after(RELAY_TIMEOUT_MS) { if (current === this && !storeAsked) askStore() }
        }

        private fun onRelayed(received: ChangeBatch) {
            val recent = received.ageMs <= RelayServer.MAX_AGE_MS && received.era == context.store.era
            if (recent) complete(received) else askStore()
        }

        private fun askStore() {
            storeAsked = true
            store.changes(RelayPoll(position(read.oldest), CONFIRMING_WAIT_MS)) { result ->
                if (current === this) result.onSuccess(::complete).onFailure(::onConfirmationFailed)
            }
        }

        private fun onConfirmationFailed(error: StoreError) {
            if (error is StoreError.HistoryGone || error is StoreError.TooLong) {
                context.events.log("store.read_too_old", "revision" to read.oldest, "cause" to error)
                start(relayOf, mayBeOld = false)
            } else {
                availability.onError(error, ::retry)
            }
        }

        private fun complete(received: ChangeBatch) {
            received.changes.changes.forEach(read::apply)
            finish(maxOf(read.oldest, received.changes.at), received.ageMs)
        }

        private fun finish(
            revision: Long,
            ageMs: Long,
        ) {
            current = null
            onLoaded(LoadedItems(read.items, position(revision), ageMs))
        }
    }

    private fun position(revision: Long) = StorePosition(context.store.era, revision)

    private companion object {
        /** A watch with this wait is answered at once, with the changes that are missing or none. */
        const val CONFIRMING_WAIT_MS = 1L

        /** Time for another process to respond; a process that starts serves no requests meanwhile. */
        const val RELAY_TIMEOUT_MS = 50L
    }
}
