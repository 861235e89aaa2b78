/*
 * Hands the store's changes on to other processes that ask for them.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Scheduler
import auburnhall.core.StoreChange
import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders

/** What can be handed on. */
interface RelayedState {
    /** The revision up to which everything is known. */
    val revision: Long

    /** Time, in milliseconds, since this process last knew that it had missed nothing; null when it never did. */
    val ageMs: Long?

    /** Whether the store was lately away. */
    val storeWasAway: Boolean

    /** The changes after [revision]; null when some may have been forgotten. */
    fun since(revision: Long): List<StoreChange>?
}

/** Answers other processes; a question waits until there is a change to tell. Control thread only. */
class RelayServer(
    private val clock: Clock,
    private val scheduler: Scheduler,
    private val state: RelayedState,
) : RequestHandler {
    private val waiting = LinkedHashSet<Question>()
    private var lastAskedAt: Long? = null

    /** Whether others take their changes from this process. */
    val isAsked: Boolean get() = lastAskedAt?.let { clock.nowMs() - it < ASKED_MS } == true

    override fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val asked = request.uri.substringAfter('?', "").split(',')
        val revision = asked[0].toLongOrNull()
        val waitMs = asked.getOrNull(1)?.toLongOrNull()
        when {
            request.path != PATH -> response.refuse(NOT_FOUND)
            revision == null || waitMs == null -> response.refuse(BAD_REQUEST)
            else -> onQuestion(Question(revision, response), waitMs.coerceIn(0, MAX_WAIT_MS))
        }
    }

    /** There are new changes. */
    fun onChanges() = waiting.toList().forEach(::answer)

    private fun onQuestion(
        question: Question,
        waitMs: Long,
    ) {
        lastAskedAt = clock.nowMs()
        val age = state.ageMs
        val known = state.since(question.revision)
        when {
            age == null || age > OLDEST_MS -> question.response.refuse(UNAVAILABLE)
            known == null -> question.response.refuse(GONE)
            known.isNotEmpty() -> answer(question)
            else -> await(question, waitMs)
        }
    }

    private fun await(
        question: Question,
        waitMs: Long,
    ) {
        waiting.add(question)
        question.response.onDisconnect = { waiting.remove(question) }
        scheduler.after(waitMs) { if (question in waiting) answer(question) }
    }

    private fun answer(question: Question) {
        waiting.remove(question)
        val known = state.since(question.revision)
        val age = state.ageMs
        if (known == null || age == null) {
            question.response.refuse(GONE)
        } else {
            val told = RelayedChanges(state.revision, age, state.storeWasAway, known.map { RelayedChange.of(it) })
            question.response.send(OK, newHeaders(), told.encode())
        }
    }

    private fun ResponseWriter.refuse(status: Int) = send(status, newHeaders(), ByteArray(0))

    private class Question(
        val revision: Long,
        val response: ResponseWriter,
    )

    companion object {
        /** Where changes are asked for, with the revision and the longest wait, in milliseconds, as the query. */
        const val PATH = "/changes"

        /**
         * Oldest state that is served, in milliseconds: what is left of the shortest bound for new configurations is
         * enough to ask the store itself.
         */
        const val OLDEST_MS = 1_200L

        /** Bounds what a process can make this one hold, in milliseconds. */
        private const val MAX_WAIT_MS = 10_000L

        /** Longer than the pause after which a process that was refused asks again. */
        private const val ASKED_MS = 5_000L
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val GONE = 410
        private const val UNAVAILABLE = 503
    }
}
