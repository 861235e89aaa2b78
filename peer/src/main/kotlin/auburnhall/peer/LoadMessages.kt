/*
 * Conversion between load news and the messages of the peer protocol.
 */
package auburnhall.peer

import auburnhall.core.DataCentreId
import auburnhall.core.ReplicaId
import auburnhall.proto.peer.LoadReport
import auburnhall.replica.DataCentreLoad
import auburnhall.replica.ReplicaLoad
import auburnhall.proto.peer.ReplicaLoad as ReplicaLoadMessage

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
