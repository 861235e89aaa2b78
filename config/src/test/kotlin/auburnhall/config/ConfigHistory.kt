/*
 * What operators were told, what processes served under and what the store held, checked at every step.
 */
package auburnhall.config

import auburnhall.core.ChangeRecord
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import kotlinx.serialization.json.Json

/** Records verdicts and checks what must always hold. */
internal class ConfigHistory(
    private val fleet: ConfigFleet,
) {
    private val observer = fleet.store.client()
    private val lastServed = HashMap<String, Long>()
    private val kept = HashSet<String>()
    private val refused = HashSet<String>()
    private var accepted = 0L
    private var stored = 0L

    /** Number of changes accepted. */
    var acceptedCount = 0
        private set

    /** The version that the store holds; 0 before the first. */
    fun storedVersion(): Long {
        checkStore()
        return stored
    }

    /** Notes what the operator of [changeId] was told. */
    fun told(
        changeId: String,
        result: ApplyResult,
    ) {
        when (result) {
            is ApplyResult.Accepted -> {
                accepted = maxOf(accepted, result.version)
                acceptedCount += 1
                kept += changeId
            }
            is ApplyResult.Pending -> kept += changeId
            is ApplyResult.OutcomeUnknown -> Unit
            is ApplyResult.Conflict, is ApplyResult.Invalid, is ApplyResult.Unavailable -> refused += changeId
        }
        check()
    }

    /** Every process, also one that is paused and would go on this moment, serves what was accepted, or nothing. */
    fun check() {
        fleet.nodes.filter { !it.isDead }.forEach { node ->
            val version = node.served() ?: return@forEach
            val name = node.self.process.value
            check(version >= accepted) { "$name serves under $version, but $accepted was accepted" }
            check(version >= lastServed.getOrDefault(name, 0)) { "$name went back to $version" }
            lastServed[name] = version
        }
        checkStore()
    }

    private fun checkStore() {
        val entry = (observer.get(Keys.CONFIGURATION) as ReadResult.Success).entries.firstOrNull() ?: return
        val configuration = checkNotNull(StoredConfiguration.decode(entry.value)).configuration
        check(configuration.version >= stored) { "the store went back to ${configuration.version}" }
        if (configuration.version == stored) return
        stored = configuration.version
        check(trail().map { it.version } == (1..stored).toList()) { "the audit trail has a gap before $stored" }
    }

    /** No change is lost that was told to be kept, and none kept that was told to be refused. */
    fun checkTrail() {
        val ids = trail().map { it.changeId }
        check(ids.distinct() == ids) { "a change was made twice: $ids" }
        check(ids.containsAll(kept)) { "lost: ${kept - ids.toSet()}" }
        check(ids.none { it in refused }) { "made although refused: ${refused.intersect(ids.toSet())}" }
    }

    private fun trail(): List<ChangeRecord> {
        val archived = (observer.list(Keys.AUDIT) as ReadResult.Success).entries
        val entry = (observer.get(Keys.CONFIGURATION) as ReadResult.Success).entries.firstOrNull()
        val newest = entry?.let { StoredConfiguration.decode(it.value) }?.configuration?.change
        val records = archived.map { Json.decodeFromString(ChangeRecord.serializer(), it.value.decodeToString()) }
        return (records + listOfNotNull(newest)).distinctBy { it.version }
    }
}
