/*
 * Bodies of the operators' HTTP interface. All are JSON.
 */
package auburnhall.config.api

import auburnhall.config.ListFiles
import auburnhall.config.Problem
import auburnhall.core.ChangeRecord
import auburnhall.core.CustomerList
import auburnhall.core.DataCentreId
import auburnhall.core.DrainRequest
import auburnhall.core.Explanation
import auburnhall.core.InstanceId
import auburnhall.core.ProcessId
import auburnhall.core.ReplicaId
import auburnhall.core.UsageList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Paths of the interface. */
object OperatorPaths {
    /** GET: [ListsReply]. */
    const val LISTS = "/operator/lists"

    /** POST [ApplyRequest]: [ApplyReply]. */
    const val APPLY = "/operator/apply"

    /** GET: [AuditReply]. */
    const val AUDIT = "/operator/audit"

    /** GET, POST [DrainBody] or DELETE with the query parameter `instance`: [DrainsReply]. */
    const val DRAINS = "/operator/drains"

    /** GET: [FleetStatus]. */
    const val STATUS = "/operator/status"

    /** GET with the request's id as last segment: [ExplanationsReply]. */
    const val EXPLANATIONS = "/operator/explanations"
}

/** The lists as stored. [version] is 0 and [change] null before the first change. */
@Serializable
data class ListsReply(
    val version: Long,
    val customers: CustomerList,
    val usage: UsageList,
    val change: ChangeRecord?,
)

/** A change of the lists, made from [expectedVersion]. */
@Serializable
data class ApplyRequest(
    @SerialName("change_id") val changeId: String,
    @SerialName("expected_version") val expectedVersion: Long,
    val note: String = "",
    val files: ListFiles,
)

/** What became of a change; see [auburnhall.config.ApplyResult]. */
@Serializable
enum class ApplyOutcome {
    @SerialName("accepted")
    ACCEPTED,

    @SerialName("pending")
    PENDING,

    @SerialName("conflict")
    CONFLICT,

    @SerialName("invalid")
    INVALID,

    @SerialName("unavailable")
    UNAVAILABLE,

    @SerialName("outcome_unknown")
    OUTCOME_UNKNOWN,
}

/**
 * Answer to an [ApplyRequest].
 *
 * @property version version now stored; 0 when not known.
 * @property unconfirmed entry processes that have not confirmed a pending change.
 * @property changes what others changed since the expected version, of a conflict.
 */
@Serializable
data class ApplyReply(
    val outcome: ApplyOutcome,
    val version: Long = 0,
    val unconfirmed: List<ProcessId> = emptyList(),
    val changes: List<ChangeRecord> = emptyList(),
    val problems: List<Problem> = emptyList(),
    val message: String = "",
)

/** Every change, oldest first. */
@Serializable
data class AuditReply(
    val changes: List<ChangeRecord>,
)

/** Asks that [instance] be drained, and stopped once idle when [stop] is set. */
@Serializable
data class DrainBody(
    val instance: InstanceId,
    val stop: Boolean = false,
)

/** All drain requests in force. */
@Serializable
data class DrainsReply(
    val drains: List<DrainRequest>,
)

/** What is known of one request; empty when nothing is. */
@Serializable
data class ExplanationsReply(
    val explanations: List<Explanation>,
)

/** A request of an operator that failed. */
@Serializable
data class ErrorReply(
    val message: String,
)

/** State of the fleet as one entry process sees it. */
@Serializable
data class FleetStatus(
    val process: ProcessId,
    /** Version served under; null when the copy is not confirmed. */
    @SerialName("config_version") val configVersion: Long?,
    @SerialName("entry_processes") val entryProcesses: Int,
    @SerialName("data_centres") val dataCentres: List<DataCentreStatus> = emptyList(),
    val replicas: List<ReplicaRow> = emptyList(),
    val instances: List<InstanceRow> = emptyList(),
    @SerialName("group_downtime") val groupDowntime: List<GroupDowntime> = emptyList(),
    /** Accelerators of healthy instances that are in no serving replica. */
    @SerialName("stranded_accelerators") val strandedAccelerators: Int = 0,
)

/** Who controls the replicas of a data centre; [controller] is null when nobody does. */
@Serializable
data class DataCentreStatus(
    @SerialName("data_centre") val dataCentre: DataCentreId,
    val controller: ProcessId?,
    val term: Long,
)

/** One replica. [state] is that of its assignment, or `absent` when a member is missing. */
@Serializable
data class ReplicaRow(
    val replica: ReplicaId,
    val model: String,
    @SerialName("data_centre") val dataCentre: DataCentreId,
    val state: String,
    val members: List<InstanceId>,
    val running: Int = 0,
    val capacity: Int = 0,
)

/** One instance. [replica] is null when it belongs to none. */
@Serializable
data class InstanceRow(
    val instance: InstanceId,
    val kind: String,
    @SerialName("data_centre") val dataCentre: DataCentreId,
    val state: String,
    val replica: ReplicaId? = null,
)

/** Seconds, since the reporting process started, that replicas of [model] could not serve for want of a member. */
@Serializable
data class GroupDowntime(
    val model: String,
    val seconds: Double,
)
