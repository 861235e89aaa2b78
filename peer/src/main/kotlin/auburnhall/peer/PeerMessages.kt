/*
 * Conversion between the messages of the peer protocol and the types of the modules that exchange them.
 */
package auburnhall.peer

import auburnhall.core.CustomerId
import auburnhall.core.DataCentreId
import auburnhall.core.ProcessId
import auburnhall.core.ReplicaId
import auburnhall.limits.ShareDemand
import auburnhall.limits.ShareGrant
import auburnhall.membership.CopyState
import auburnhall.membership.HeardProcess
import auburnhall.membership.Heartbeat
import auburnhall.proto.peer.HeartbeatReply
import auburnhall.proto.peer.HeartbeatRequest
import auburnhall.proto.peer.LoadReport
import auburnhall.replica.DataCentreLoad
import auburnhall.replica.ReplicaLoad
import auburnhall.proto.peer.HeardProcess as HeardMessage
import auburnhall.proto.peer.ReplicaLoad as ReplicaLoadMessage
import auburnhall.proto.peer.ShareDemand as ShareDemandMessage
import auburnhall.proto.peer.ShareGrant as ShareGrantMessage

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

internal fun ShareDemand.toMessage(): ShareDemandMessage =
    ShareDemandMessage
        .newBuilder()
        .setCustomer(customer.value)
        .setRequests(requests)
        .setTokens(tokens)
        .setConcurrent(concurrent)
        .setInProgress(inProgress)
        .build()

internal fun ShareDemandMessage.toDemand() = ShareDemand(CustomerId(customer), requests, tokens, concurrent, inProgress)

internal fun ShareGrant.toMessage(): ShareGrantMessage =
    ShareGrantMessage
        .newBuilder()
        .setCustomer(customer.value)
        .setRequests(requests)
        .setTokens(tokens)
        .setConcurrent(concurrent)
        .setValidMs(validMillis)
        .build()

internal fun ShareGrantMessage.toGrant() = ShareGrant(CustomerId(customer), requests, tokens, concurrent, validMs)

internal fun DataCentreLoad.toMessage(): LoadReport =
    LoadReport
        .newBuilder()
        .setDataCentre(dataCentre.value)
        .setController(controller)
        .addAllReplicas(replicas.map { it.toMessage() })
        .build()

internal fun LoadReport.toLoad(madeAtMillis: Long) =
    DataCentreLoad(DataCentreId(dataCentre), controller, madeAtMillis, replicasList.map { it.toLoad() })

private fun ReplicaLoad.toMessage(): ReplicaLoadMessage =
    ReplicaLoadMessage
        .newBuilder()
        .setReplica(replica.value)
        .setGeneration(generation)
        .setPresenceAgeMs(presenceAgeMillis)
        .setRunning(running)
        .setQueued(queued)
        .setCapacity(capacity)
        .setDraining(draining)
        .setTokensPerSecond(tokensPerSecond)
        .setAcceptsFencing(acceptsFencing)
        .setLeaderAddress(leaderAddress)
        .addAllPrefixes(prefixes)
        .build()

private fun ReplicaLoadMessage.toLoad() =
    ReplicaLoad(
        replica = ReplicaId(replica),
        generation = generation,
        presenceAgeMillis = presenceAgeMs,
        running = running,
        queued = queued,
        capacity = capacity,
        draining = draining,
        tokensPerSecond = tokensPerSecond,
        acceptsFencing = acceptsFencing,
        leaderAddress = leaderAddress,
        prefixes = prefixesList,
    )
