/*
 * The workers that are registered in the store. Leases also expire because the store is unavailable; live workers then
 * register again shortly after it is available, so a removal in that time takes effect only at its end. A
 * restored store holds older entries: those of workers that have since written others, or have left, are not used.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.StoreItem
import auburnhall.core.log
import auburnhall.platform.WorkerEntry
import auburnhall.platform.WorkerEntryCodec
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess

/** Keeps the decoded entries of the workers. Control thread only. */
class WorkerRegistry(
    private val clock: Clock,
    private val events: EventListener,
    /** Until when live workers may be missing because the store was unavailable; null if none may be. */
    private val expiryUntilMs: () -> Long?,
) {
    private val entries = HashMap<String, WorkerEntry>()
    private val gone = HashMap<String, GoneEntry>()
    private val removeAtMs = HashMap<String, Long>()
    private val coldness = WorkerColdness(clock)

    /** An entry was written; a worker whose entry cannot be decoded is removed. */
    fun onPut(item: StoreItem) {
        removeAtMs.remove(item.key)
        WorkerEntryCodec
            .decode(item.key, item.value)
            .onSuccess {
                coldness.onEntry(it, before = entries[item.key], returned = item.key in gone)
                entries[item.key] = it
            }.onFailure {
                entries.remove(item.key)
                events.log("worker.entry_ignored", "key" to item.key, "revision" to item.revision, "cause" to it)
            }
    }

    /** An entry was read from a restored store; ignored if a later one of the same worker is or was known. */
    fun onRestored(item: StoreItem) {
        val held = entries[item.key]
        val left = gone[item.key]?.entry
        val read = WorkerEntryCodec.decode(item.key, item.value).get()
        val older = read != null && held != null && read.isBefore(held)
        val returned = read != null && held == null && left != null && !left.isBefore(read)
        if (older || returned) {
            events.log(
                "worker.older_ignored",
                "key" to item.key,
                "write" to read?.write,
                "held" to (held ?: left)?.write,
            )
        } else {
            onPut(item)
        }
    }

    /** An entry was removed; takes effect only when live workers have registered again after an outage of the store. */
    fun onRemoved(key: String) {
        val entry = entries[key] ?: return
        val untilMs = expiryUntilMs() ?: return remove(key)
        removeAtMs[key] = untilMs
        events.log("worker.removal_deferred", "worker" to entry.worker.id, "for_ms" to untilMs - clock.nowMs())
    }

    /** Removes workers that did not register again in time; returns whether there were any. */
    fun expire(): Boolean {
        val now = clock.nowMs()
        val due = removeAtMs.filterValues { it <= now }.keys.toList()
        due.forEach(::remove)
        gone.values.removeIf { it.forgetAtMs <= now }
        return due.isNotEmpty()
    }

    /** The workers, as a snapshot at the store's [revision]. */
    fun fleet(revision: Long): Fleet {
        coldness.onListed()
        return Fleet(revision, entries.values.map { it.worker }, coldness.snapshot())
    }

    private fun remove(key: String) {
        removeAtMs.remove(key)
        val entry = entries.remove(key) ?: return
        coldness.onRemoved(entry.worker)
        gone[key] = GoneEntry(entry, clock.nowMs() + GONE_MEMORY_MS)
        events.log("worker.removed", "worker" to entry.worker.id, "service" to entry.worker.service)
    }

    private data class GoneEntry(
        val entry: WorkerEntry,
        val forgetAtMs: Long,
    )

    private companion object {
        /** Several times the age of a copy from which the store is restored. */
        const val GONE_MEMORY_MS = 60_000L
    }
}
