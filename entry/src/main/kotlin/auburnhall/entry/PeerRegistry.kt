/*
 * The other processes that are registered in the store. As with workers, a registration that is removed because the
 * store was unavailable or was restored is made again by a live process, so the removal takes effect after a grace
 * period.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.StoreItem

/** Keeps the registrations of all processes but [processName]. Control thread only. */
internal class PeerRegistry(
    private val processName: String,
    private val clock: Clock,
    /** Whether leases may have expired because the store was unavailable. */
    private val storeWasUnavailable: () -> Boolean,
) {
    private val processes = HashMap<String, PeerProcess>()
    private val dropAtMs = HashMap<String, Long>()
    private var changed = false

    /** The other processes, by name. */
    val peers: Map<String, PeerProcess> get() = processes

    /** A registration was written. */
    fun onPut(item: StoreItem) {
        val name = nameOf(item.key)
        if (name == processName) return
        dropAtMs.remove(name)
        val process = PeerProcess.decode(item.value)
        changed = processes.put(name, process) != process || changed
    }

    /** The registration at [key] was removed. */
    fun onRemoved(key: String) {
        val name = nameOf(key)
        if (storeWasUnavailable()) dropAtMs[name] = clock.nowMs() + GRACE_MS else drop(name)
    }

    /** Drops processes that did not register again in time; returns whether there were any. */
    fun expire(): Boolean {
        val now = clock.nowMs()
        val due = dropAtMs.filterValues { it <= now }.keys.toList()
        due.forEach(::drop)
        return due.isNotEmpty()
    }

    /** Whether the processes have changed since the last call. */
    fun takeChanged(): Boolean = changed.also { changed = false }

    private fun drop(name: String) {
        dropAtMs.remove(name)
        changed = processes.remove(name) != null || changed
    }

    private fun nameOf(key: String) = key.removePrefix(ProcessRegistration.KEY_PREFIX)

    private companion object {
        /** Time in which a live process has found its lease expired and registered again. */
        const val GRACE_MS = 4_000L
    }
}
