/*
 * The platform's list of instances, in the JSON of Prometheus HTTP service discovery. It lags: a reader sees what was
 * registered, leaving and answering some time ago.
 */
package auburnhall.standin.platform

import auburnhall.core.Clock
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One instance in the list. */
@Serializable
data class TargetGroup(
    val targets: List<String>,
    val labels: InstanceLabels,
)

/** What the platform says of an instance; all values are strings, as the format wants. */
@Serializable
data class InstanceLabels(
    val instance: String,
    val kind: String,
    @SerialName("data_centre") val dataCentre: String,
    @SerialName("fabric_domain") val fabricDomain: String = "",
    val state: String = LIVE,
    val accelerators: String = "0",
    @SerialName("honours_fencing") val honoursFencing: String = "true",
    val service: String = "",
) {
    companion object {
        /** State of an instance in use. */
        const val LIVE = "live"

        /** State of an instance that the platform is about to take away. */
        const val LEAVING = "leaving"
    }
}

/** Holds the instances; what [visible] returns is [lagMillis] old. Safe for use by many threads. */
class InstanceList(
    private val clock: Clock,
    private val lagMillis: Long,
) {
    private data class Snapshot(
        val shownFrom: Long,
        val groups: List<TargetGroup>,
    )

    private val lock = Any()
    private val registered = LinkedHashMap<String, TargetGroup>()
    private val silent = HashSet<String>()
    private val snapshots = ArrayDeque<Snapshot>()

    /** Adds or replaces an instance. */
    fun register(group: TargetGroup) =
        change {
            registered[group.labels.instance] = group
            silent -= group.labels.instance
        }

    /** Takes [instance] off the list. */
    fun remove(instance: String) = change { registered -= instance }

    /** Marks [instance] as leaving; returns false when it is not registered. */
    fun markLeaving(instance: String): Boolean {
        val group = synchronized(lock) { registered[instance] } ?: return false
        change { registered[instance] = group.copy(labels = group.labels.copy(state = InstanceLabels.LEAVING)) }
        return true
    }

    /** Notes whether [instance] accepted a connection. One that does not is left out until it does again. */
    fun noteProbe(
        instance: String,
        answered: Boolean,
    ) {
        val known = synchronized(lock) { (instance !in silent) == answered }
        if (known) return
        change { if (answered) silent -= instance else silent += instance }
    }

    /** All registered instances, as they are now. */
    fun registered(): List<TargetGroup> = synchronized(lock) { registered.values.toList() }

    /** The list as readers see it. */
    fun visible(): List<TargetGroup> =
        synchronized(lock) {
            val now = clock.monotonicMillis()
            while (snapshots.size > 1 && snapshots[1].shownFrom <= now) snapshots.removeFirst()
            snapshots
                .firstOrNull()
                ?.takeIf { it.shownFrom <= now }
                ?.groups
                .orEmpty()
        }

    private fun change(apply: () -> Unit) {
        synchronized(lock) {
            apply()
            val groups = registered.filterKeys { it !in silent }.values.toList()
            snapshots += Snapshot(clock.monotonicMillis() + lagMillis, groups)
        }
    }
}
