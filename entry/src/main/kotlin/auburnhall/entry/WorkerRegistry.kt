/*
 * The workers as the store lists them. Entries that lapse while the store is away come back shortly after it does, so
 * a removal in that time counts only once the worker has had the chance to register again.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.StoreItem
import auburnhall.core.Worker
import auburnhall.core.log
import auburnhall.platform.WorkerEntryCodec
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Collects workers' entries. Control thread only. */
class WorkerRegistry(
    private val clock: Clock,
    private val events: EventListener,
    /** Whether entries may have lapsed because the store was away. */
    private val storeWasAway: () -> Boolean,
) {
    private val workers = HashMap<String, Worker>()
    private val lapsed = HashMap<String, Long>()

    /** An entry was written. */
    fun onPut(item: StoreItem) {
        lapsed.remove(item.key)
        WorkerEntryCodec
            .decode(item.key, item.value)
            .onSuccess { workers[item.key] = it }
            .onFailure {
                workers.remove(item.key)
                events.log("worker.entry_ignored", "key" to item.key, "revision" to item.revision, "cause" to it)
            }
    }

    /** An entry was removed. */
    fun onRemoved(key: String) {
        if (key !in workers) return
        if (storeWasAway()) {
            lapsed[key] = clock.nowMs() + RETURN_MS
        } else {
            remove(key)
        }
    }

    /** Removes entries that did not come back; returns whether there were any. */
    fun expire(): Boolean {
        val now = clock.nowMs()
        val due = lapsed.filterValues { it <= now }.keys.toList()
        due.forEach(::remove)
        return due.isNotEmpty()
    }

    /** The workers at [revision]. */
    fun fleet(revision: Long): Fleet = Fleet(revision, workers.values.toList())

    private fun remove(key: String) {
        lapsed.remove(key)
        workers.remove(key)?.let { events.log("worker.removed", "worker" to it.id, "service" to it.service) }
    }

    private companion object {
        /** Workers that live are listed again about two seconds after the store is back. */
        const val RETURN_MS = 2_500L
    }
}
