/*
 * The workers that are registered in the store. Leases also expire because the store is unavailable; live workers then
 * register again shortly after it is available, so a removal in that time takes effect only after a grace period. A
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
    /** Whether leases may have expired because the store was unavailable. */
    private val storeWasUnavailable: () -> Boolean,
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

    /** An entry was removed; takes effect after [REGISTRATION_GRACE_MS] when the store was unavailable. */
    fun onRemoved(key: String) {
        if (key !in entries) return
        if (storeWasUnavailable()) {
            removeAtMs[key] = clock.nowMs() + REGISTRATION_GRACE_MS
            events.log(
                "worker.removal_deferred",
                "worker" to entries[key]?.worker?.id,
                "for_ms" to REGISTRATION_GRACE_MS,
            )
        } else {
            remove(key)
        }
    }

    /** Removes workers that did not register again within the grace period; returns whether there were any. */
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
        /** Live workers have registered again about two seconds after the store is available. */
        const val REGISTRATION_GRACE_MS = 2_500L

        /** Several times the age of a copy from which the store is restored. */
        const val GONE_MEMORY_MS = 60_000L
    }
}
