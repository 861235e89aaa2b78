/*
 * Conversion between heartbeats and the messages of the peer protocol.
 */
package auburnhall.peer

import auburnhall.core.ProcessId
import auburnhall.membership.CopyState
import auburnhall.membership.HeardProcess
import auburnhall.membership.Heartbeat
import auburnhall.proto.peer.HeartbeatReply
import auburnhall.proto.peer.HeartbeatRequest
import auburnhall.proto.peer.HeardProcess as HeardMessage

/** Age sent in place of one that is not known. */
internal const val UNKNOWN_AGE_MILLIS = -1L

internal fun Heartbeat.toRequest(): HeartbeatRequest =
    HeartbeatRequest
        .newBuilder()
        .setFromProcess(process.value)
        .setConfigVersion(copy.sequence)
        .setDraining(draining)
        .addAllHeard(heard.map { it.toMessage() })
        .build()

internal fun Heartbeat.toReply(): HeartbeatReply =
    HeartbeatReply
        .newBuilder()
        .setProcess(process.value)
        .setConfigVersion(copy.sequence)
        .setStoreAgeMs(copy.confirmedAgeMillis ?: UNKNOWN_AGE_MILLIS)
        .setDraining(draining)
        .addAllHeard(heard.map { it.toMessage() })
        .build()

internal fun HeartbeatRequest.toHeartbeat() =
    Heartbeat(ProcessId(fromProcess), draining, CopyState(configVersion, null), heardList.map { it.toHeard() })

internal fun HeartbeatReply.toHeartbeat() =
    Heartbeat(ProcessId(process), draining, copyState(configVersion, storeAgeMs), heardList.map { it.toHeard() })

internal fun copyState(
    sequence: Long,
    ageMillis: Long,
) = CopyState(sequence, ageMillis.takeIf { it >= 0 })

private fun HeardProcess.toMessage(): HeardMessage =
    HeardMessage
        .newBuilder()
        .setProcess(process.value)
        .setAgeMs(ageMillis)
        .setDraining(draining)
        .build()

private fun HeardMessage.toHeard() = HeardProcess(ProcessId(process), ageMs, draining)
