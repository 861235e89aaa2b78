/*
 * The datagrams between the processes and their encoding as protobuf.
 */
package auburnhall.entry

import auburnhall.routing.LoadsByHash
import auburnhall.routing.TargetLoad
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoIntegerType
import kotlinx.serialization.protobuf.ProtoNumber
import kotlinx.serialization.protobuf.ProtoPacked
import kotlinx.serialization.protobuf.ProtoType

private const val PROCESS = 1
private const val TARGETS = 2
private const val REQUESTS = 3
private const val REPLICA = 4
private const val REPLICA_STATUS = 5
private const val UNREAD_TOKENS = 6
private const val SCOPE = 7
private const val DATA_CENTRE = 8
private const val PART_REPORT = 9
private const val LIMITS = 10
private const val EVACUATIONS = 11
private const val STORE_AGE = 12

/** The numbers from 13 to 29 are kept for load reports. */
private const val COLDNESS = 30

/** Status of a replica as one process reports it. */
enum class ReplicaStatus {
    /** None of its streams advances; it may have lost a member. */
    SUSPECT,

    /** All its members answered the controller's probes. */
    HEALTHY,

    /** It is being torn down and must get no more requests. */
    TEARDOWN,

    /** It has a slow member and there is no spare worker to replace it. */
    SLOW,

    /** It ends the requests that it has and must get no more. */
    CLOSING,
}

/** Which processes a load report covers. */
enum class LoadScope {
    /** The sender only. */
    PROCESS,

    /** All processes of the sender's data centre. */
    DATA_CENTRE,

    /** All processes of all data centres. */
    ALL,
}

/**
 * One datagram: a [partReport], [limits], [evacuations], the status of a replica where [replica] is set, or else a load
 * report.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PeerMessage(
    @ProtoNumber(PROCESS) val process: String,
    /** Hashes of the targets' keys; the load of each is at the same index of [requests] and [unreadTokens]. */
    @ProtoNumber(TARGETS) @ProtoPacked @ProtoType(ProtoIntegerType.FIXED) val targets: List<Int> = emptyList(),
    @ProtoNumber(REQUESTS) @ProtoPacked val requests: List<Int> = emptyList(),
    @ProtoNumber(UNREAD_TOKENS) @ProtoPacked val unreadTokens: List<Int> = emptyList(),
    /** The replica that [replicaStatus] is about; null in a load report. */
    @ProtoNumber(REPLICA) val replica: String? = null,
    @ProtoNumber(REPLICA_STATUS) val replicaStatus: ReplicaStatus = ReplicaStatus.SUSPECT,
    @ProtoNumber(SCOPE) val scope: LoadScope = LoadScope.PROCESS,
    /** The sender's data centre; empty in a replica status. */
    @ProtoNumber(DATA_CENTRE) val dataCentre: String = "",
    /** Null in the other messages. */
    @ProtoNumber(PART_REPORT) val partReport: PartReport? = null,
    /** Limits that workers have named; empty in the other messages. */
    @ProtoNumber(LIMITS) val limits: List<ReportedLimit> = emptyList(),
    /** Evacuations of data centres, begun or ended; empty in the other messages. */
    @ProtoNumber(EVACUATIONS) val evacuations: List<ReportedEvacuation> = emptyList(),
    /** Workers that have stated that they are cold; empty in the other messages. */
    @ProtoNumber(COLDNESS) val coldness: List<ReportedColdness> = emptyList(),
    /** Milliseconds since the store was last known to answer, in a load report; null if it never was. */
    @ProtoNumber(STORE_AGE) val storeAgeMs: Int? = null,
) {
    /** The loads of a load report, by target hash. */
    fun loads(): LoadsByHash =
        targets.indices.associate { index ->
            targets[index] to TargetLoad(requests.getOrElse(index) { 0 }, unreadTokens.getOrElse(index) { 0 })
        }

    /** The datagram's payload. */
    fun encode(): ByteArray = ProtoBuf.encodeToByteArray(serializer(), this)

    companion object {
        /** Decodes the output of [encode]; throws `SerializationException` for other bytes. */
        fun decode(bytes: ByteArray): PeerMessage = ProtoBuf.decodeFromByteArray(serializer(), bytes)

        /** The load report of [process]. */
        fun ofLoads(
            process: String,
            loads: LoadsByHash,
            scope: LoadScope,
            dataCentre: String = "",
        ) = PeerMessage(
            process,
            loads.keys.toList(),
            loads.values.map { it.requests },
            loads.values.map { it.unreadTokens },
            scope = scope,
            dataCentre = dataCentre,
        )
    }
}
