/*
 * The workers that are registered in the store. Leases also expire because the store is unavailable; live workers then
 * register again shortly after it is available, so a removal in that time takes effect only after a grace period.
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

/** Keeps the decoded entries of the workers. Control thread only. */
class WorkerRegistry(
    private val clock: Clock,
    private val events: EventListener,
    /** Whether leases may have expired because the store was unavailable. */
    private val storeWasUnavailable: () -> Boolean,
) {
    private val workers = HashMap<String, Worker>()
    private val removeAtMs = HashMap<String, Long>()

    /** An entry was written; a worker whose entry cannot be decoded is removed. */
    fun onPut(item: StoreItem) {
        removeAtMs.remove(item.key)
        WorkerEntryCodec
            .decode(item.key, item.value)
            .onSuccess { workers[item.key] = it }
            .onFailure {
                workers.remove(item.key)
                events.log("worker.entry_ignored", "key" to item.key, "revision" to item.revision, "cause" to it)
            }
    }

    /** An entry was removed; takes effect after [REGISTRATION_GRACE_MS] when the store was unavailable. */
    fun onRemoved(key: String) {
        if (key !in workers) return
        if (storeWasUnavailable()) {
            removeAtMs[key] = clock.nowMs() + REGISTRATION_GRACE_MS
        } else {
            remove(key)
        }
    }

    /** Removes workers that did not register again within the grace period; returns whether there were any. */
    fun expire(): Boolean {
        val now = clock.nowMs()
        val due = removeAtMs.filterValues { it <= now }.keys.toList()
        due.forEach(::remove)
        return due.isNotEmpty()
    }

    /** The workers, as a snapshot at the store's [revision]. */
    fun fleet(revision: Long): Fleet = Fleet(revision, workers.values.toList())

    private fun remove(key: String) {
        removeAtMs.remove(key)
        workers.remove(key)?.let { events.log("worker.removed", "worker" to it.id, "service" to it.service) }
    }

    private companion object {
        /** Live workers have registered again about two seconds after the store is available. */
        const val REGISTRATION_GRACE_MS = 2_500L
    }
}
