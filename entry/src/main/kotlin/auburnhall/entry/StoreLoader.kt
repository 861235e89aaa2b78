/*
 * Reads all items of the store, page by page. A load that is started again, for example since the store was restored
 * between two pages, replaces the one before.
 */
package auburnhall.entry

import auburnhall.core.StoreItem
import auburnhall.core.StorePage
import auburnhall.core.StorePosition
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Passes the items, and the position after which they may lack changes, to [onLoaded]. Control thread only. */
internal class StoreLoader(
    private val context: ControlContext,
    private val availability: StoreAvailability,
    private val onLoaded: (read: Map<String, StoreItem>, at: StorePosition) -> Unit,
) {
    private var current: Load? = null

    /** Starts a load, and again after each failure. */
    fun start() {
        current = Load().also { it.readAfter(null) }
    }

    private inner class Load {
        private val read = LinkedHashMap<String, StoreItem>()
        private var firstRevision: Long? = null

        fun readAfter(key: String?) {
            context.store.range("", key) { result ->
                if (current === this) result.onSuccess(::onPage).onFailure { availability.onError(it, ::retry) }
            }
        }

        private fun retry() {
            if (current === this) start()
        }

        private fun onPage(page: StorePage) {
            availability.onAnswer()
            val revision = firstRevision ?: page.at
            firstRevision = revision
            page.items.associateByTo(read) { it.key }
            if (page.hasMore && page.items.isNotEmpty()) {
                readAfter(page.items.last().key)
            } else {
                current = null
                onLoaded(read, StorePosition(context.store.era, revision))
            }
        }
    }
}
