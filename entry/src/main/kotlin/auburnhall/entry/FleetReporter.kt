/*
 * Counts what the two deployments weigh: group downtime and stranded accelerators, and reports the state of the fleet.
 */
package auburnhall.entry

import auburnhall.config.api.DataCentreStatus
import auburnhall.config.api.FleetStatus
import auburnhall.config.api.GroupDowntime
import auburnhall.config.api.InstanceRow
import auburnhall.config.api.ReplicaRow
import auburnhall.core.AssignmentTable
import auburnhall.core.FleetView
import auburnhall.core.InstanceId
import auburnhall.core.InstanceKind
import auburnhall.core.ListedInstance
import auburnhall.core.ListedState
import auburnhall.core.ProcessId
import auburnhall.core.Replica
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState
import auburnhall.core.ReplicaStatus

/** What a report is made of. */
internal data class FleetInput(
    val tables: List<AssignmentTable>,
    val view: FleetView,
    val instances: List<ListedInstance>,
)

/**
 * Adds up group downtime: for every replica that is assigned and not draining, the time in which it was not present at
 * this process, whether a member was lost or it is still being formed. A control-thread object, but for the reads.
 */
internal class FleetReporter(
    private val self: ProcessId,
) {
    @Volatile
    private var downtimeMillis = emptyMap<String, Long>()

    @Volatile
    private var input = FleetInput(emptyList(), FleetView(), emptyList())
    private var lastAt: Long? = null

    /** Takes in the state at [nowMillis]. */
    fun onTick(
        input: FleetInput,
        nowMillis: Long,
    ) {
        val passed = nowMillis - (lastAt ?: nowMillis)
        lastAt = nowMillis
        this.input = input
        val present = present(input)
        val down =
            input.tables
                .flatMap {
                    it.replicas
                }.filter { it.state != ReplicaState.DRAINING && it.id !in present }
        val totals = HashMap(downtimeMillis)
        down.forEach { totals.merge(it.model, passed, Long::plus) }
        downtimeMillis = totals
    }

    /** Group downtime by model, in seconds since the start. */
    fun downtime(): List<GroupDowntime> =
        downtimeMillis.map { GroupDowntime(it.key, it.value / MILLIS_PER_SECOND) }.sortedBy { it.model }

    /** Accelerators of live engine instances that are in no present replica. */
    fun strandedAccelerators(): Int {
        val now = input
        val present = present(now)
        val serving =
            now.tables
                .flatMap { it.replicas }
                .filter { it.id in present }
                .flatMapTo(HashSet()) { it.members }
        return now.instances
            .filter { it.kind == InstanceKind.ENGINE && it.state == ListedState.LIVE && it.id !in serving }
            .sumOf { it.accelerators }
    }

    /** The whole state; [configVersion] is null when no configuration is in force. */
    fun status(
        configVersion: Long?,
        entryProcesses: Int,
    ): FleetStatus {
        val now = input
        val byId = now.view.replicas.associateBy { it.replica.id }
        val memberOf =
            now.tables
                .flatMap { it.replicas }
                .flatMap { r -> r.members.map { it to r.id } }
                .toMap()
        return FleetStatus(
            process = self,
            configVersion = configVersion,
            entryProcesses = entryProcesses,
            dataCentres = now.tables.map { DataCentreStatus(it.dataCentre, it.controller, it.term) },
            replicas = now.tables.flatMap { t -> t.replicas.map { row(it, t, byId[it.id]) } },
            instances = now.instances.map { row(it, memberOf) },
            groupDowntime = downtime(),
            strandedAccelerators = strandedAccelerators(),
        )
    }

    private fun row(
        replica: Replica,
        table: AssignmentTable,
        status: ReplicaStatus?,
    ): ReplicaRow {
        val absent = replica.state == ReplicaState.SERVING && status == null
        return ReplicaRow(
            replica = replica.id,
            model = replica.model,
            dataCentre = table.dataCentre,
            state = if (absent) "absent" else replica.state.name.lowercase(),
            members = replica.members,
            running = status?.running ?: 0,
            capacity = status?.capacity ?: 0,
        )
    }

    private fun row(
        instance: ListedInstance,
        memberOf: Map<InstanceId, ReplicaId>,
    ) = InstanceRow(
        instance = instance.id,
        kind = instance.kind.name.lowercase(),
        dataCentre = instance.dataCentre,
        state = instance.state.name.lowercase(),
        replica = memberOf[instance.id],
    )

    private fun present(input: FleetInput): Set<ReplicaId> = input.view.replicas.mapTo(HashSet()) { it.replica.id }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
