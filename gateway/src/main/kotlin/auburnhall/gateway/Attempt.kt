/*
 * One attempt of a request: it is sent to one worker, whose response is read.
 */
package auburnhall.gateway

import auburnhall.http.CallFailure
import auburnhall.http.CallOptions
import auburnhall.http.CallStep
import auburnhall.http.Framing
import auburnhall.http.OutboundCall
import auburnhall.http.ResponseListener
import auburnhall.routing.Target
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream

internal class Attempt(
    private val context: GatewayContext,
    private val accepted: AcceptedRequest,
    val target: Target,
    private val options: AttemptOptions,
    private val listener: AttemptListener,
) : ResponseListener {
    /** When the last event was received, or else the attempt began, in milliseconds of the monotonic clock. */
    var lastProgressAtMs = context.clock.nowMs()
        private set

    /** Number of events that were received. */
    var eventCount = 0
        private set

    /** Whether an event was received. */
    val hasEvents: Boolean get() = eventCount > 0

    /** Whether the worker has begun to respond and was still there some time later, or completed its response. */
    var established = false
        private set
    private var firstEventAtMs = 0L

    /** Time, in milliseconds, since the attempt began. */
    val ageMs: Long get() = context.clock.nowMs() - startedAtMs

    /** Whether any byte may have reached the worker. */
    var sent = true
        private set
    private var call: OutboundCall? = null

    /** Whether it counts no longer in the load of its target; a helper counts the request itself. */
    private var released = target.helper
    private val startedAtMs = context.clock.nowMs()
    private var unreadTokens = accepted.metadata.promptTokens
    private var response: ReceivedHead? = null
    private val body = ByteArrayOutputStream()

    /** The bytes of the response that are held; whoever passes the body on releases it. */
    val buffer = context.buffers.open()
    private val events = EventSplitter()
    private var relaying = false

    /** How the response states where it ends; null before its head. */
    var framing: Framing? = null
        private set

    /** Bytes of a stream that were received after its last complete event. */
    val partialEventBytes: Int get() = events.pendingBytes

    /** Whether it was made only to learn whether the stream was complete, and no event has followed. */
    val onlyChecksEnd: Boolean get() = options.checksEnd && !hasEvents

    /** Whether the stream ended inside an event, or with its connection before the first one. */
    private val isBrokenOff: Boolean
        get() = events.hasPartialEvent || (framing == Framing.CLOSE && !hasEvents && !onlyChecksEnd)

    /** Whether the request waits for a connection, so that nothing was sent. */
    val isConnecting: Boolean get() = call?.isConnecting == true

    fun send() {
        if (target.helper) {
            context.helpers.onSent()
        } else {
            context.load.begin(target.key, unreadTokens)
            context.limits.onSent(target)
            context.reachability.onTried(target.worker.address)
        }
        val request = AttemptRequest(context, accepted, target, options).build()
        val keepsLong = accepted.route.repeatable && !target.helper
        val maxIdleMs = if (keepsLong) MAX_CONNECTION_IDLE_MS else NON_REPEATABLE_MAX_CONNECTION_IDLE_MS
        // Without an id, a late response on a connection that has carried another request would be taken for its own.
        val callOptions = CallOptions(CONNECT_TIMEOUT_MS, maxIdleMs, pooled = request.correlation != null)
        val client = if (target.helper) context.helpers.client else context.client
        call = client.send(target.worker.address, request, callOptions, this)
    }

    /** Cancels the call; the listener is not called any more. */
    fun cancel() {
        call?.cancel()
        buffer.release()
    }

    /** Stops or goes on reading the response, so that a worker is held back while the caller does not keep up. */
    fun setReading(reading: Boolean) {
        if (reading) lastProgressAtMs = context.clock.nowMs()
        call?.setReading(reading)
    }

    /** Removes the request from the load of the target; further calls do nothing. */
    fun release() {
        if (released) return
        released = true
        context.load.end(target.key, unreadTokens)
        context.unreported.onEnded(target.served, ageMs)
    }

    override fun onHead(
        status: Int,
        headers: HttpHeaders,
        framing: Framing,
    ) {
        this.framing = framing
        val received = context.receiveHead(target, status, headers)
        response = received
        if (received.beginsStream) {
            relaying = true
            listener.onStreamHead(this, received.headers)
        }
    }

    override fun onContent(content: ByteBuf) {
        if (!target.helper) context.reachability.onHeard()
        val bytes = ByteArray(content.readableBytes())
        content.readBytes(bytes)
        val fault =
            if (relaying) {
                relay(bytes)
                events.fault ?: buffer.exceeded(events.pendingBytes, ResponseBuffers.MAX_EVENT_BYTES, "event")
            } else {
                body.write(bytes)
                buffer.exceeded(body.size(), ResponseBuffers.MAX_BODY_BYTES, "body")
            }
        if (fault != null) {
            cancel()
            onFailure(CallFailure(CallStep.READ_BODY, target.worker.address, fault))
        }
    }

    private fun relay(bytes: ByteArray) {
        val completeEvents = events.add(bytes)
        if (completeEvents.isEmpty()) return
        if (!hasEvents) {
            firstEventAtMs = context.clock.nowMs()
            if (!released) context.load.onPromptRead(target.key, unreadTokens)
            unreadTokens = 0
        }
        eventCount += completeEvents.size
        lastProgressAtMs = context.clock.nowMs()
        if (lastProgressAtMs - firstEventAtMs >= ESTABLISHED_AFTER_MS) establish(firstEventAtMs)
        context.failureDetector.onActivity(target.key)
        completeEvents.forEach { listener.onEvent(this, it) }
    }

    /** Records that the worker, which began to respond at [beganAtMs], did not crash because of the request. */
    private fun establish(beganAtMs: Long) {
        if (established) return
        established = true
        context.parts.onServed(accepted.metadata.sharedParts, target.served, beganAtMs)
    }

    override fun onEnd() {
        val received = checkNotNull(response)
        when (val meaning = received.meaning) {
            is ResponseMeaning.NotExecuted -> listener.onNotExecuted(this, received.head)
            is ResponseMeaning.Failed ->
                onFailure(
                    CallFailure(CallStep.READ_BODY, target.worker.address, meaning.fault),
                )
            is ResponseMeaning.Final ->
                when {
                    relaying && isBrokenOff -> onFailure(brokenOff())
                    relaying -> {
                        if (hasEvents && framing != Framing.CLOSE) establish(firstEventAtMs)
                        listener.onStreamEnd(this, events.remainder)
                    }
                    else -> {
                        if (received.head.isSuccess) establish(startedAtMs)
                        listener.onFullResponse(this, received.head, received.headers, body.toByteArray())
                    }
                }
        }
    }

    override fun onFailure(failure: CallFailure) {
        buffer.release()
        if (!failure.sent) sent = false
        if (failure.step == CallStep.CONNECT &&
            !target.helper
        ) {
            context.reachability.onConnectFailed(target.worker.address)
        }
        listener.onFailure(this, failure)
    }

    private companion object {
        /** Many round trips within a region; a worker that does not accept in this time counts as unreachable. */
        const val CONNECT_TIMEOUT_MS = 400

        const val MAX_CONNECTION_IDLE_MS = 60_000L

        /** Time after the first event after which a crash of the worker has another cause than this request. */
        const val ESTABLISHED_AFTER_MS = 500L

        /** A request that must not be retried avoids connections that the worker may be about to close. */
        const val NON_REPEATABLE_MAX_CONNECTION_IDLE_MS = 3_000L
    }
}

private fun Attempt.brokenOff() =
    CallFailure(CallStep.READ_BODY, target.worker.address, "stream ended inside an event", closedByPeer = true)
