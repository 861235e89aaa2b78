/*
 * One sending of a request to one worker.
 */
package auburnhall.gateway

import auburnhall.http.CallFailure
import auburnhall.http.CallOptions
import auburnhall.http.CallStep
import auburnhall.http.Correlation
import auburnhall.http.OutboundCall
import auburnhall.http.OutboundRequest
import auburnhall.http.ResponseListener
import auburnhall.http.endToEnd
import auburnhall.routing.Target
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream

/** Hears what comes of an attempt. */
internal interface AttemptListener {
    /** The worker began to answer with a stream. */
    fun onStreamHead(
        from: Attempt,
        headers: HttpHeaders,
    )

    /** An event of the stream came whole. */
    fun onEvent(
        from: Attempt,
        event: StreamEvent,
    )

    /** The stream is complete; [remainder] came after its last event. */
    fun onStreamEnd(
        from: Attempt,
        remainder: ByteArray,
    )

    /** The worker gave a whole answer that is no stream. */
    fun onWhole(
        from: Attempt,
        read: WorkerResponseHead,
        headers: HttpHeaders,
        body: ByteArray,
    )

    /** The worker states that it did not run the request. */
    fun onNotRun(
        from: Attempt,
        read: WorkerResponseHead,
    )

    /** There will be no complete answer. */
    fun onFailure(
        from: Attempt,
        failure: CallFailure,
    )
}

/** What an attempt says beside the request. */
internal data class AttemptOptions(
    /** The last event that the caller has; null to begin with the first. */
    val resumeAfterEventId: String?,
    /** 0 is served first. */
    val priority: Int,
)

internal class Attempt(
    private val context: GatewayContext,
    private val accepted: AcceptedRequest,
    val target: Target,
    private val options: AttemptOptions,
    private val owner: AttemptListener,
) : ResponseListener {
    /** When it was sent, or its last event came, by the monotonic clock. */
    var lastEventAt = context.clock.nowMs()
        private set

    /** Whether an event came. */
    var hasEvents = false
        private set

    /** Whether any byte may have reached the worker. */
    var sent = true
        private set
    private var call: OutboundCall? = null
    private var released = false
    private var unreadTokens = accepted.metadata.promptTokens
    private var answer: WorkerResponseHead? = null
    private var headers: HttpHeaders? = null
    private val body = ByteArrayOutputStream()
    private val events = EventSplitter()
    private var relaying = false

    fun send() {
        context.load.begin(target.key, unreadTokens)
        val told =
            WorkerRequestMetadata(
                timeLeftMs = accepted.deadline - context.clock.nowMs(),
                workerId = target.worker.id,
                customer = accepted.customer?.name,
                resumeAfterEventId = options.resumeAfterEventId,
                priority = options.priority,
            )
        val request =
            OutboundRequest(
                accepted.request.method,
                accepted.request.uri,
                context.codecs.worker.requestHeaders(accepted.request.headers.endToEnd(), told),
                accepted.request.body,
                accepted.metadata.id?.let { Correlation(context.codecs.worker.idHeader, it) },
            )
        val idleMs = if (accepted.route.repeatable) MAX_IDLE_MS else NON_REPEATABLE_IDLE_MS
        call = context.client.send(target.worker.address, request, CallOptions(CONNECT_TIMEOUT_MS, idleMs), this)
    }

    /** Ends the call; nothing more is heard of it. */
    fun abandon() {
        call?.cancel()
    }

    /** Counts the request as no longer in progress at the target. */
    fun release() {
        if (released) return
        released = true
        context.load.end(target.key, unreadTokens)
    }

    override fun onHead(
        status: Int,
        headers: HttpHeaders,
    ) {
        val read = context.codecs.worker.read(status, headers)
        answer = read
        this.headers = headers.endToEnd()
        val success = status in SUCCESS
        if (success && read.authentic && read.eventStream) {
            relaying = true
            owner.onStreamHead(this, headers.endToEnd())
        }
    }

    override fun onContent(content: ByteBuf) {
        val bytes = ByteArray(content.readableBytes())
        content.readBytes(bytes)
        if (relaying) {
            relay(bytes)
        } else {
            body.write(bytes)
        }
    }

    private fun relay(bytes: ByteArray) {
        val whole = events.add(bytes)
        if (whole.isEmpty()) return
        onFirstEvent()
        lastEventAt = context.clock.nowMs()
        context.failureDetector.onActivity(target.key)
        whole.forEach { owner.onEvent(this, it) }
    }

    private fun onFirstEvent() {
        if (hasEvents) return
        hasEvents = true
        if (!released) context.load.onPromptRead(target.key, unreadTokens)
        unreadTokens = 0
    }

    override fun onEnd() {
        val read = checkNotNull(answer)
        val success = read.status in SUCCESS
        when {
            relaying -> owner.onStreamEnd(this, events.remainder)
            read.notExecuted -> owner.onNotRun(this, read)
            success && !read.authentic ->
                onFailure(
                    CallFailure(CallStep.READ_BODY, target.worker.address, "unsigned answer"),
                )
            else -> owner.onWhole(this, read, checkNotNull(headers), body.toByteArray())
        }
    }

    override fun onFailure(failure: CallFailure) {
        if (!failure.sent) sent = false
        owner.onFailure(this, failure)
    }

    private companion object {
        val SUCCESS = 200..299

        /** Many round trips within a region; workers beyond it are taken for gone. */
        const val CONNECT_TIMEOUT_MS = 400

        const val MAX_IDLE_MS = 60_000L

        /** A request that must not be repeated avoids connections that the worker may be about to close. */
        const val NON_REPEATABLE_IDLE_MS = 3_000L
    }
}
