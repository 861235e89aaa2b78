/*
 * The datagrams that the processes send each other.
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

/** What a process tells of a replica. */
enum class ReplicaStatus {
    /** It fell silent. */
    SUSPECT,

    /** All its members answered. */
    HEALTHY,

    /** It is taken apart. */
    TEARDOWN,

    /** It has a slow member that cannot be replaced now. */
    SLOW,
}

/** Whose work a report of load is about. */
enum class LoadScope {
    /** That of the sender. */
    PROCESS,

    /** That of all processes of the sender's data centre. */
    DATA_CENTRE,

    /** That of all processes. */
    ALL,
}

/** One datagram. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PeerMessage(
    @ProtoNumber(PROCESS) val process: String,
    /** Targets by hash, each with the work there at the same index of [requests] and [unreadTokens]. */
    @ProtoNumber(TARGETS) @ProtoPacked @ProtoType(ProtoIntegerType.FIXED) val targets: List<Int> = emptyList(),
    @ProtoNumber(REQUESTS) @ProtoPacked val requests: List<Int> = emptyList(),
    @ProtoNumber(UNREAD_TOKENS) @ProtoPacked val unreadTokens: List<Int> = emptyList(),
    /** The replica that [replicaStatus] is about; null in a report of load. */
    @ProtoNumber(REPLICA) val replica: String? = null,
    @ProtoNumber(REPLICA_STATUS) val replicaStatus: ReplicaStatus = ReplicaStatus.SUSPECT,
    @ProtoNumber(SCOPE) val scope: LoadScope = LoadScope.PROCESS,
    /** The sender's data centre, with [LoadScope.DATA_CENTRE]. */
    @ProtoNumber(DATA_CENTRE) val dataCentre: String = "",
) {
    /** The work told. */
    fun loads(): LoadsByHash =
        targets.indices.associate { index ->
            targets[index] to TargetLoad(requests.getOrElse(index) { 0 }, unreadTokens.getOrElse(index) { 0 })
        }

    /** The bytes that are sent. */
    fun encode(): ByteArray = ProtoBuf.encodeToByteArray(serializer(), this)

    companion object {
        /** Reads what [encode] wrote; throws a `SerializationException` when it did not. */
        fun decode(bytes: ByteArray): PeerMessage = ProtoBuf.decodeFromByteArray(serializer(), bytes)

        /** A report of [loads] by [process]. */
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
