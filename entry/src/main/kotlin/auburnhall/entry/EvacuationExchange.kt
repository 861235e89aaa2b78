/*
 * Exchanges the evacuations of data centres between the processes, so that they are in force within their bound also
 * at a process that the store does not answer. A change is sent to all at once; what is known is repeated to a few, so
 * that it reaches processes that missed a datagram or have started later.
 */
package auburnhall.entry

import auburnhall.core.EvacuationStatement
import auburnhall.core.Evacuations
import auburnhall.core.EventListener
import auburnhall.core.StorePosition
import auburnhall.core.StoredEvacuations
import auburnhall.core.log
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

private const val DATA_CENTRE = 1
private const val EVACUATED = 2
private const val ERA = 3
private const val REVISION = 4

/** An [EvacuationStatement] as sent to other processes. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ReportedEvacuation(
    @ProtoNumber(DATA_CENTRE) val dataCentre: String,
    @ProtoNumber(EVACUATED) val evacuated: Boolean = false,
    /** The position in the store at which it was begun or no longer there. */
    @ProtoNumber(ERA) val era: Long = 0,
    @ProtoNumber(REVISION) val revision: Long = 0,
) {
    fun toStatement() = EvacuationStatement(dataCentre, evacuated, StorePosition(era, revision))

    companion object {
        fun of(statement: EvacuationStatement) =
            ReportedEvacuation(statement.dataCentre, statement.evacuated, statement.at.era, statement.at.revision)
    }
}

/** Combines what the store and the other processes say of evacuations, and sends it. Traffic thread only. */
class EvacuationExchange(
    private val process: String,
    private val runtime: PeerRuntime,
    private val sender: PeerSender,
    private val events: EventListener,
) {
    private var known = Evacuations.NONE
    private var stored = StoredEvacuations.NONE
    private var peers: Set<String> = emptySet()

    /** Called with the evacuated data centres when they have changed. */
    var onChange: (Set<String>) -> Unit = { }

    /** The data centres that are evacuated. */
    val dataCentres: Set<String> get() = known.dataCentres

    /** Starts to send; call once. */
    fun start() = repeatKnown()

    /** Replaces the other processes by [names]. */
    fun onPeers(names: Set<String>) {
        val added = names - peers
        peers = names
        send(added)
    }

    /** The store was [read]. */
    fun onStored(read: StoredEvacuations) {
        stored = read
        update(known.with(read), "store")
    }

    /** Handles what the process [sender] has [reported]; a later read of the store outweighs it. */
    fun onReport(
        sender: String,
        reported: List<ReportedEvacuation>,
    ) = update(known.with(reported.map { it.toStatement() }).with(stored), "peer", sender)

    private fun update(
        newer: Evacuations,
        source: String,
        peer: String? = null,
    ) {
        val before = known.dataCentres
        known = newer
        val after = newer.dataCentres
        if (after == before) return
        (after - before).forEach { logChange("evacuation.begun", it, source, peer) }
        (before - after).forEach { logChange("evacuation.ended", it, source, peer) }
        send(peers)
        onChange(after)
    }

    private fun logChange(
        event: String,
        dataCentre: String,
        source: String,
        peer: String?,
    ) {
        val at = known.statements.first { it.dataCentre == dataCentre }.at
        events.log(event, "data_centre" to dataCentre, "source" to source, "peer" to peer, "position" to at)
    }

    private fun repeatKnown() {
        send(peers.shuffled(runtime.random).take(REPEAT_TO_PEERS))
        runtime.scheduler.after(REPEAT_PERIOD_MS, ::repeatKnown)
    }

    /** Sent as the status of no replica, which builds that do not know these reports ignore. */
    private fun send(names: Collection<String>) {
        if (names.isEmpty()) return
        known.statements.map(ReportedEvacuation::of).chunked(MAX_PER_MESSAGE).forEach {
            sender.send(PeerMessage(process, replica = "", evacuations = it), names)
        }
    }

    private companion object {
        /** A small part of the time within which all processes must know an evacuation. */
        const val REPEAT_PERIOD_MS = 500L

        /** Processes to which the evacuations are repeated each time. */
        const val REPEAT_TO_PEERS = 2

        /** Keeps datagrams within the size that networks carry unfragmented. */
        const val MAX_PER_MESSAGE = 24
    }
}
