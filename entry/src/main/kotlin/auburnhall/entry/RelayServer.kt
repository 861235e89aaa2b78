/*
 * Serves the store's changes to the processes that take them from this one, so that few processes watch the store.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Scheduler
import auburnhall.core.StoreChange
import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders

/** The state that is relayed. */
interface RelayedState {
    /** The revision of the store up to which all changes are included. */
    val revision: Long

    /** Time, in milliseconds, since this process was last known to have all changes; null before the first load. */
    val ageMs: Long?

    /** Whether the store is or recently was unavailable. */
    val storeWasUnavailable: Boolean

    /** The changes after [revision]; null when the history no longer holds all of them. */
    fun since(revision: Long): List<StoreChange>?
}

/** Answers long polls: each waits for a change after its revision, up to its maximum wait. Control thread only. */
class RelayServer(
    private val clock: Clock,
    private val scheduler: Scheduler,
    private val state: RelayedState,
) : RequestHandler {
    private val pendingPolls = LinkedHashSet<Poll>()
    private var lastPollAtMs: Long? = null

    /** Whether other processes take changes from this one, which then has to keep its state recent. */
    val hasClients: Boolean get() = lastPollAtMs?.let { clock.nowMs() - it < CLIENT_ACTIVE_MS } == true

    override fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val query = request.uri.substringAfter('?', "").split(',')
        val revision = query[0].toLongOrNull()
        val waitMs = query.getOrNull(1)?.toLongOrNull()
        when {
            request.path != PATH -> response.refuse(NOT_FOUND)
            revision == null || waitMs == null -> response.refuse(BAD_REQUEST)
            else -> onPoll(Poll(revision, response), waitMs.coerceIn(0, MAX_WAIT_MS))
        }
    }

    /** Answers the waiting polls; call after each batch of changes. */
    fun onChanges() = pendingPolls.toList().forEach(::answer)

    private fun onPoll(
        poll: Poll,
        waitMs: Long,
    ) {
        lastPollAtMs = clock.nowMs()
        val age = state.ageMs
        val changes = state.since(poll.revision)
        when {
            age == null || age > MAX_AGE_MS -> poll.response.refuse(UNAVAILABLE)
            changes == null -> poll.response.refuse(GONE)
            changes.isNotEmpty() -> answer(poll)
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
        val changes = state.since(poll.revision)
        val age = state.ageMs
        if (changes == null || age == null) {
            poll.response.refuse(GONE)
        } else {
            val batch =
                RelayedChanges(state.revision, age, state.storeWasUnavailable, changes.map { RelayedChange.of(it) })
            poll.response.send(OK, newHeaders(), batch.encode())
        }
    }

    private fun ResponseWriter.refuse(status: Int) = send(status, newHeaders(), ByteArray(0))

    private class Poll(
        val revision: Long,
        val response: ResponseWriter,
    )

    companion object {
        /** Path of polls; the query is the revision and the longest wait in milliseconds, separated by a comma. */
        const val PATH = "/changes"

        /**
         * Maximum age of relayed state: after it, the shortest limit for applying a new configuration still leaves
         * enough time to read the change from the store itself.
         */
        const val MAX_AGE_MS = 1_200L

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
