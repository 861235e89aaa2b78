/*
 * One process's copy of the configuration and until when it may be served under.
 */
package auburnhall.config

import auburnhall.core.Deadline
import auburnhall.membership.CopyState

/** A copy stays in force for this long after it was confirmed to be the newest. */
const val COPY_VALID_MILLIS = 8_000L

/**
 * A copy. Immutable.
 *
 * @property confirmedAt monotonic time at which nothing newer existed or could have been accepted; null when unknown.
 */
internal data class ConfigCopy(
    val stored: StoredConfiguration,
    val confirmedAt: Long?,
    val index: ConfigIndex = ConfigIndex(stored.configuration),
) {
    /** Until when requests may be served under this copy. */
    val validUntil: Deadline = confirmedAt?.let { Deadline(it + COPY_VALID_MILLIS) } ?: Deadline.PASSED

    /** What peers are told of it at [nowMillis]. */
    fun state(nowMillis: Long) = CopyState(stored.sequence, confirmedAt?.let { nowMillis - it })

    /** This copy, known to have been the newest at [atMillis]. */
    fun confirmed(atMillis: Long): ConfigCopy =
        if (confirmedAt == null || atMillis > confirmedAt) copy(confirmedAt = atMillis) else this
}

/**
 * The copy to hold after [other] was seen, which was the newest at [confirmedAt] as far as that is known. The sequence
 * never falls. A newer value inherits the confirmation of the older one: nothing later than the newer value was
 * accepted at that time either.
 */
internal fun ConfigCopy?.after(
    other: StoredConfiguration,
    confirmedAt: Long?,
): ConfigCopy {
    if (this != null && other.sequence < stored.sequence) return this
    val newest = if (this == null || other.sequence > stored.sequence) ConfigCopy(other, this?.confirmedAt) else this
    return if (confirmedAt == null) newest else newest.confirmed(confirmedAt)
}
