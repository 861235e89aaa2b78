/*
 * One log line for each request that ends, as fields that programs can read.
 */
package auburnhall.gateway

import kotlinx.serialization.json.JsonPrimitive
import org.tinylog.kotlin.Logger

/** Writes one line for each ended request, through [write]. */
class RequestLog(
    private val write: (String) -> Unit = { Logger.info(it) },
) : GatewayListener {
    override fun onEnd(summary: RequestSummary) = write(lineOf(summary))

    private fun lineOf(summary: RequestSummary): String =
        buildString {
            append("request ended request_id=").append(summary.requestId)
            append(" customer=").append(summary.customer?.value ?: "-")
            append(" target=").append(quoted(summary.target))
            append(" status=").append(summary.status)
            append(" run_state=").append(summary.runState.code)
            append(" took_ms=").append(summary.tookMillis)
            append(" tokens=").append(summary.tokens)
            summary.reason?.let { append(" reason=").append(it.code) }
            summary.error?.let { e ->
                append(" step=").append(e.step.name.lowercase())
                append(" peer=").append(quoted(e.peer))
                append(" error=").append(quoted(e.message))
            }
        }

    private fun quoted(text: String) = JsonPrimitive(text).toString()
}
