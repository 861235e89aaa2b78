/*
 * The head of a response to an attempt, and what this process learns from it about the target.
 */
package auburnhall.gateway

import auburnhall.http.endToEnd
import auburnhall.routing.Target
import io.netty.handler.codec.http.HttpHeaders

/** A head as it was received; [headers] are those for the caller. */
internal class ReceivedHead(
    val head: WorkerResponseHead,
    val headers: HttpHeaders,
    val meaning: ResponseMeaning,
) {
    /** Whether the body is a stream whose events reach the caller as they arrive. */
    val beginsStream: Boolean get() = meaning == ResponseMeaning.Final && head.isSuccess && head.eventStream
}

/** Receives the head of a response of [target]; takes statements between processes out of [headers]. */
internal fun GatewayContext.receiveHead(
    target: Target,
    status: Int,
    headers: HttpHeaders,
): ReceivedHead {
    val execution = Execution.take(headers)
    val head = codecs.worker.read(status, headers, target.worker.id)
    if (!target.helper) {
        onWorkerHead(target, head)
    } else if (!head.authentic) {
        helpers.onFailedResponse(target.worker.id, stated = execution != null)
    }
    val meaning = if (target.helper) ResponseMeaning.ofHelper(head, execution) else ResponseMeaning.ofWorker(head)
    return ReceivedHead(head, headers.endToEnd(), meaning)
}

/** Takes in what a worker, that of [target], says of itself in the [head] of a response. */
private fun GatewayContext.onWorkerHead(
    target: Target,
    head: WorkerResponseHead,
) {
    reachability.onHeard()
    limits.onResponse(target, head.requestsPerSecond)
    if (head.misdirected) limits.cold?.onNotReceived(target)
    head.coldRemainingMs?.let { limits.cold?.onResponse(target, it) }
    if (head.leaving) notices.onLeaving(target)
    head.pauseMs?.let { notices.onPause(target, it) }
}
