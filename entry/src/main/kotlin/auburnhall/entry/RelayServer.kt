/*
 * Serves the store's changes to the processes that take them from this one, so that few processes watch the store.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Scheduler
import auburnhall.core.StoreChange
import auburnhall.core.StorePosition
import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders
import java.net.URLDecoder
import java.net.URLEncoder

/** The state that is relayed. */
interface RelayedState {
    /** The state of the store up to which all changes are included. */
    val position: StorePosition

    /** Time, in milliseconds, since this process was last known to have all changes; null before the first load. */
    val ageMs: Long?

    /** Whether the store is or recently was unavailable. */
    val storeWasUnavailable: Boolean

    /** The changes after [from]; null when the history does not hold all of them, as after a restore of the store. */
    fun since(from: StorePosition): List<StoreChange>?
}

/** A poll for the changes after [from] that waits up to [waitMs] milliseconds for one. */
class RelayPoll(
    val from: StorePosition,
    val waitMs: Long,
    /**
     * Whether the state of the process that polls is too old. It then takes a state of any age, and waits for one that
     * is recent, with or without changes.
     */
    val outdated: Boolean = false,
    /** The data centre of the process that polls, which then understands compressed batches; null if not stated. */
    val dataCentre: String? = null,
) {
    /** The request's path and query: revision, wait, era, [outdated] and [dataCentre], separated by commas. */
    val uri: String
        get() {
            val flag = if (outdated) OUTDATED else ""
            val place = dataCentre?.let { "," + URLEncoder.encode(it, Charsets.UTF_8) }.orEmpty()
            return "${RelayServer.PATH}?${from.revision},$waitMs,${from.era},$flag$place"
        }

    companion object {
        private const val OUTDATED = "1"
        private const val OUTDATED_FIELD = 3
        private const val DATA_CENTRE_FIELD = 4

        /** Reads a poll's [uri]; without an era, as of older versions, that is [defaultEra]. Null if it is invalid. */
        fun parse(
            uri: String,
            defaultEra: Long,
        ): RelayPoll? {
            val query = uri.substringAfter('?', "").split(',')
            val revision = query[0].toLongOrNull()
            val waitMs = query.getOrNull(1)?.toLongOrNull()
            val era = query.getOrNull(2)?.toLongOrNull() ?: defaultEra
            if (revision == null || waitMs == null) return null
            val outdated = query.getOrNull(OUTDATED_FIELD) == OUTDATED
            val dataCentre = query.getOrNull(DATA_CENTRE_FIELD)?.let { URLDecoder.decode(it, Charsets.UTF_8) }
            return RelayPoll(StorePosition(era, revision), waitMs, outdated, dataCentre)
        }
    }
}

/** Answers long polls: each waits for a change after its revision, up to its maximum wait. Control thread only. */
class RelayServer(
    private val clock: Clock,
    private val scheduler: Scheduler,
    private val state: RelayedState,
    /** The data centre of this process. */
    private val dataCentre: String,
) : RequestHandler {
    private val pendingPolls = LinkedHashSet<Poll>()
    private var lastPollAtMs: Long? = null
    private val lastBatches = HashMap<Boolean, EncodedBatch>()

    /** Whether other processes take changes from this one, which then has to keep its state recent. */
    val hasClients: Boolean get() = lastPollAtMs?.let { clock.nowMs() - it < CLIENT_ACTIVE_MS } == true

    override fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val poll = RelayPoll.parse(request.uri, state.position.era)
        when {
            request.path != PATH -> response.refuse(NOT_FOUND)
            poll == null -> response.refuse(BAD_REQUEST)
            else -> onPoll(Poll(poll, response), poll.waitMs.coerceIn(0, MAX_WAIT_MS))
        }
    }

    /** Answers the waiting polls; call after each batch of changes. */
    fun onChanges() = pendingPolls.toList().forEach(::answer)

    /** The state was found to be up to date; answers the processes whose own state is too old. */
    fun onConfirmed() {
        if (recent) pendingPolls.filter { it.outdated }.forEach(::answer)
    }

    private val recent: Boolean get() = state.ageMs?.let { it <= RECENT_AGE_MS } == true

    private fun onPoll(
        poll: Poll,
        waitMs: Long,
    ) {
        if (!poll.outdated) lastPollAtMs = clock.nowMs()
        val age = state.ageMs
        val changes = state.since(poll.from)
        when {
            age == null || (age > MAX_AGE_MS && !poll.outdated) -> poll.response.refuse(UNAVAILABLE)
            poll.from.era > state.position.era -> poll.response.refuse(UNAVAILABLE)
            changes == null -> poll.response.refuse(GONE)
            changes.isNotEmpty() || (poll.outdated && recent) -> answer(poll)
            else -> holdUntilChange(poll, waitMs)
        }
    }

    private fun holdUntilChange(
        poll: Poll,
        waitMs: Long,
    ) {
        pendingPolls.add(poll)
        poll.response.onDisconnect = { pendingPolls.remove(poll) }
        scheduler.after(waitMs) { if (poll in pendingPolls) answer(poll) }
    }

    private fun answer(poll: Poll) {
        pendingPolls.remove(poll)
        val changes = state.since(poll.from)
        val age = state.ageMs
        if (changes == null || age == null) {
            poll.response.refuse(GONE)
        } else {
            poll.response.send(OK, newHeaders(), encode(poll, changes, age))
        }
    }

    /** Most polls ask for the same changes; they share one encoding, so that a long value is not held for each. */
    private fun encode(
        poll: Poll,
        changes: List<StoreChange>,
        ageMs: Long,
    ): ByteArray {
        val at = state.position
        val known = lastBatches[poll.remote]?.takeIf { it.from == poll.from && it.at == at && it.ageMs == ageMs }
        if (known != null && changes.isNotEmpty()) return known.bytes
        val relayed = changes.map(RelayedChange::of)
        val batch = RelayedChanges(at.revision, ageMs, state.storeWasUnavailable, relayed, at.era)
        val bytes = if (poll.remote) batch.encodeCompressed() else batch.encode()
        lastBatches[poll.remote] = EncodedBatch(poll.from, at, ageMs, bytes)
        return bytes
    }

    private class EncodedBatch(
        val from: StorePosition,
        val at: StorePosition,
        val ageMs: Long,
        val bytes: ByteArray,
    )

    private fun ResponseWriter.refuse(status: Int) = send(status, newHeaders(), ByteArray(0))

    private inner class Poll(
        poll: RelayPoll,
        val response: ResponseWriter,
    ) {
        val from = poll.from
        val outdated = poll.outdated

        /** Whether the batch crosses data centres and may be compressed. */
        val remote = poll.dataCentre != null && poll.dataCentre != dataCentre
    }

    companion object {
        /** Path of polls. */
        const val PATH = "/changes"

        /**
         * Maximum age of relayed state: after it, the shortest limit for applying a new configuration still leaves
         * enough time to read the change from the store itself.
         */
        const val MAX_AGE_MS = 1_200L

        /** Maximum age of a state that ends the wait of a process whose own state is too old; below its maximum age. */
        private const val RECENT_AGE_MS = 600L

        /** Limits how long a client can make this process hold a poll. */
        private const val MAX_WAIT_MS = 10_000L

        /** Longer than the pause after which a process polls a relay again that refused it. */
        private const val CLIENT_ACTIVE_MS = 5_000L
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val GONE = 410
        private const val UNAVAILABLE = 503
    }
}
