/*
 * Callbacks for metrics and logs, one for each step of a request.
 */
package auburnhall.gateway

import auburnhall.core.CustomerId
import auburnhall.core.Reason
import auburnhall.core.RequestId
import auburnhall.core.RunState
import auburnhall.core.StepError

/**
 * How a request ended.
 *
 * @property target the model or service asked for; empty when the request was refused before it was known.
 * @property reason why the request was refused or failed; null when it was answered.
 * @property error the last error, with its step and peer; null when there was none.
 * @property tokens generated tokens given to the caller.
 */
data class RequestSummary(
    val requestId: RequestId,
    val customer: CustomerId?,
    val target: String,
    val status: Int,
    val runState: RunState,
    val reason: Reason?,
    val error: StepError?,
    val tookMillis: Long,
    val tokens: Int,
)

/** Told of every step of every request, on the thread that serves it. Must not block or throw. */
interface GatewayListener {
    /** A request arrived. */
    fun onStart(requestId: RequestId) = Unit

    /** A request was given a place on a replica after [waitedMillis] in the queue. */
    fun onAdmitted(
        requestId: RequestId,
        waitedMillis: Long,
    ) = Unit

    /** The first token came [sinceArrivalMillis] after the request. */
    fun onFirstToken(
        requestId: RequestId,
        sinceArrivalMillis: Long,
    ) = Unit

    /** Another token came [sinceLastMillis] after the one before. */
    fun onToken(sinceLastMillis: Long) = Unit

    /** An attempt failed with [error]; the request may go on elsewhere. */
    fun onAttemptFailed(
        requestId: RequestId,
        error: StepError,
    ) = Unit

    /** The request goes on at another replica or service instance. */
    fun onRetry(requestId: RequestId) = Unit

    /** The request has ended; called once for each [onStart]. */
    fun onEnd(summary: RequestSummary) = Unit

    companion object {
        /** Listens to nothing. */
        val NONE: GatewayListener = object : GatewayListener {}
    }
}

/** Returns a [GatewayListener] that tells each of [listeners] in turn. */
fun GatewayListener(vararg listeners: GatewayListener): GatewayListener = ListenerGroup(listeners.toList())

internal class ListenerGroup(
    private val listeners: List<GatewayListener>,
) : GatewayListener {
    override fun onStart(requestId: RequestId) = listeners.forEach { it.onStart(requestId) }

    override fun onAdmitted(
        requestId: RequestId,
        waitedMillis: Long,
    ) = listeners.forEach { it.onAdmitted(requestId, waitedMillis) }

    override fun onFirstToken(
        requestId: RequestId,
        sinceArrivalMillis: Long,
    ) = listeners.forEach { it.onFirstToken(requestId, sinceArrivalMillis) }

    override fun onToken(sinceLastMillis: Long) = listeners.forEach { it.onToken(sinceLastMillis) }

    override fun onAttemptFailed(
        requestId: RequestId,
        error: StepError,
    ) = listeners.forEach { it.onAttemptFailed(requestId, error) }

    override fun onRetry(requestId: RequestId) = listeners.forEach { it.onRetry(requestId) }

    override fun onEnd(summary: RequestSummary) = listeners.forEach { it.onEnd(summary) }
}
