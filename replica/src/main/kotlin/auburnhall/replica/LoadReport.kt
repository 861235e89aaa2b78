/*
 * Load news of one data centre: what the process that polls its engines tells the other entry processes.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.DataCentreId
import auburnhall.core.Replica
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState

/**
 * One report.
 *
 * @property controller whether the reporter sees the engines; a report without is to be ignored and another process
 *   asked.
 * @property asOfMillis when the report was made, on the reporter's monotonic scale.
 */
data class DataCentreLoad(
    val dataCentre: DataCentreId,
    val controller: Boolean,
    val asOfMillis: Long,
    val replicas: List<ReplicaLoad> = emptyList(),
) {
    /** The same report as of [nowMillis], with the ages grown accordingly. */
    fun asOf(nowMillis: Long): DataCentreLoad {
        val by = nowMillis - asOfMillis
        return copy(asOfMillis = nowMillis, replicas = replicas.map { it.olderBy(by) })
    }
}

/**
 * Presence and load of one replica.
 *
 * @property presenceAgeMillis age of the oldest sign of life among the members, counted from when the status request
 *   was sent; [NEVER_PRESENT] when a member has not confirmed that it belongs to the replica.
 */
data class ReplicaLoad(
    val replica: ReplicaId,
    val generation: Long,
    val presenceAgeMillis: Long,
    val running: Int,
    val queued: Int,
    val capacity: Int,
    val draining: Boolean,
    val tokensPerSecond: Int,
    val acceptsFencing: Boolean,
    val leaderAddress: String,
    val prefixes: List<Int> = emptyList(),
) {
    /** The same figures seen [byMillis] later. */
    fun olderBy(byMillis: Long): ReplicaLoad =
        if (presenceAgeMillis == NEVER_PRESENT) this else copy(presenceAgeMillis = presenceAgeMillis + byMillis)

    companion object {
        /** Age reported when a member does not confirm its membership. */
        const val NEVER_PRESENT = -1L
    }
}

/**
 * Gives the earliest moment, on this process's scale, at which a report received over one stream can have been made.
 * The first report was made after the stream was asked for at [openedAtMillis]; later ones by their distance from it.
 * A report that was held up on its way is therefore never taken for a fresh one.
 */
class ReportTimeline(
    private val openedAtMillis: Long,
) {
    private var first: Long? = null

    /** The earliest moment for a report made at [asOfMillis] of the reporter's scale. */
    fun earliest(asOfMillis: Long): Long {
        val base = first ?: asOfMillis.also { first = it }
        return openedAtMillis + (asOfMillis - base)
    }
}

/** The report about every replica of [table] that is not forming. */
internal fun loadOf(
    table: AssignmentTable,
    view: EngineView,
): List<ReplicaLoad> = table.replicas.filter { it.state != ReplicaState.FORMING }.map { loadOf(it, view) }

private fun loadOf(
    replica: Replica,
    view: EngineView,
): ReplicaLoad {
    val status = view.health[replica.leader]?.status
    return ReplicaLoad(
        replica = replica.id,
        generation = replica.generation,
        presenceAgeMillis = presenceAge(replica, view),
        running = status?.running ?: 0,
        queued = status?.queued ?: 0,
        capacity = status?.capacity ?: 0,
        draining = replica.state == ReplicaState.DRAINING || replica.members.any { it in view.leaving },
        tokensPerSecond = status?.tokensPerSecond ?: 0,
        acceptsFencing = replica.members.none { it in view.ignoringFencing },
        leaderAddress = view.addresses[replica.leader].orEmpty(),
        prefixes = status?.prefixes.orEmpty(),
    )
}

private fun presenceAge(
    replica: Replica,
    view: EngineView,
): Long {
    val ages =
        replica.members.map { m ->
            val h = view.health[m]
            if (h == null || !h.isReadyFor(replica)) ReplicaLoad.NEVER_PRESENT else h.silentMillis(view.nowMillis)
        }
    return if (ages.any { it < 0 }) ReplicaLoad.NEVER_PRESENT else ages.max()
}
