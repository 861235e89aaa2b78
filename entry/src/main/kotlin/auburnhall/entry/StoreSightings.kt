/*
 * When the store was last known to answer any process. A process that the store turns away, or whose connection was
 * cut, learns from the load reports of others that the store is available, so that it does not take its own loss for an
 * outage in which leases expire. Each kind of report passes on only what kinds below it have brought, so that no
 * sighting comes back to its origin with the delays of its way added to it.
 */
package auburnhall.entry

import auburnhall.core.Clock
import java.util.concurrent.atomic.AtomicLongArray

/** Sightings of the store by this process and in reports of others. Thread-safe. */
class StoreSightings(
    private val clock: Clock,
) {
    /** In milliseconds of the monotonic clock: the own sighting first, then by the scope of the reports. */
    private val seenAtMs = AtomicLongArray(LongArray(LoadScope.entries.size + 1) { NEVER })

    /** When the store last answered any process, in milliseconds of the monotonic clock; null before the first time. */
    val lastMs: Long? get() = last(LoadScope.entries.size).takeIf { it != NEVER }

    /** This process had all changes of the store at [atMs], in milliseconds of the monotonic clock. */
    fun onSeen(atMs: Long) = record(0, atMs)

    /** A report of [scope] says that the store was seen [ageMs] milliseconds ago. */
    fun onReport(
        scope: LoadScope,
        ageMs: Int,
    ) = record(scope.ordinal + 1, clock.nowMs() - ageMs)

    /** Time since the latest sighting that a report of [scope] passes on, in milliseconds; null if there was none. */
    fun ageMs(scope: LoadScope): Int? =
        last(scope.ordinal).takeIf { it != NEVER }?.let { (clock.nowMs() - it).coerceIn(0, MAX_AGE_MS).toInt() }

    private fun record(
        level: Int,
        atMs: Long,
    ) {
        seenAtMs.accumulateAndGet(level, atMs, ::maxOf)
    }

    private fun last(level: Int) = (0..level).maxOf { seenAtMs[it] }

    private companion object {
        const val NEVER = Long.MIN_VALUE

        /** Stands for any longer time, after which every lease has expired. */
        const val MAX_AGE_MS = 3_600_000L
    }
}
