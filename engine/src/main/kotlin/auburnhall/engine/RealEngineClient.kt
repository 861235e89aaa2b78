/*
 * The engine client over Jetty's HTTP client.
 */
package auburnhall.engine

import auburnhall.core.Clock
import auburnhall.core.HttpStatus
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.http.HttpCall
import auburnhall.http.HttpCaller
import auburnhall.http.HttpOutcome
import auburnhall.http.startedHttpClient
import kotlinx.serialization.SerializationException
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.StringRequestContent
import java.util.concurrent.TimeUnit

/**
 * Time limits towards engines.
 *
 * @property statusMillis within which an engine answers a status call; a later answer is no sign of life.
 * @property orderMillis within which an engine accepts an order.
 * @property headersMillis within which an engine begins to answer a chat completion.
 */
data class EngineTimeouts(
    val statusMillis: Long = 1_000,
    val orderMillis: Long = 2_000,
    val headersMillis: Long = 60_000,
)

/** Returns an [EngineClient] over HTTP. */
fun EngineClient(
    clock: Clock,
    timeouts: EngineTimeouts = EngineTimeouts(),
    client: HttpClient = startedHttpClient(),
): EngineClient = RealEngineClient(clock, timeouts, client)

internal class RealEngineClient(
    private val clock: Clock,
    private val timeouts: EngineTimeouts,
    private val client: HttpClient,
) : EngineClient {
    private val caller = HttpCaller(client)

    override fun chat(
        address: String,
        call: ChatCall,
    ): ChatResult {
        val stream = SseChatStream(address, clock)
        val body = EngineProtocol.requestBody(call).toString()
        val request =
            client
                .newRequest("http://$address${EngineProtocol.CHAT_PATH}")
                .method("POST")
                .headers { h ->
                    h.add(EngineProtocol.REQUEST_ID_HEADER, call.requestId.value)
                    h.add(EngineProtocol.REPLICA_HEADER, call.replica.value)
                    h.add(EngineProtocol.GENERATION_HEADER, call.generation.toString())
                }.idleTimeout(timeouts.headersMillis, TimeUnit.MILLISECONDS)
                .body(StringRequestContent("application/json", body))
        stream.request = request
        request.send(stream.listener)
        return stream.awaitHeaders(minOf(clock.monotonicMillis() + timeouts.headersMillis, call.openBy.atMillis))
    }

    override fun status(address: String): StatusResult {
        val call = HttpCall("GET", "http://$address${EngineProtocol.STATUS_PATH}", timeouts.statusMillis)
        return when (val outcome = caller.call(call)) {
            is HttpOutcome.NoAnswer -> StatusResult.Error(StepError(Step.SERVE, address, outcome.message))
            is HttpOutcome.Answer -> decodeStatus(address, outcome)
        }
    }

    override fun order(
        address: String,
        order: EngineOrder,
    ): OrderResult {
        val body = EngineProtocol.json.encodeToString(EngineOrder.serializer(), order).encodeToByteArray()
        val call = HttpCall("POST", "http://$address${EngineProtocol.ORDERS_PATH}", timeouts.orderMillis, body)
        return when (val outcome = caller.call(call)) {
            is HttpOutcome.NoAnswer -> OrderResult.Error(StepError(Step.LOAD, address, outcome.message))
            is HttpOutcome.Answer -> decodeOrder(address, outcome)
        }
    }

    override fun close() = caller.close()

    private fun decodeStatus(
        address: String,
        answer: HttpOutcome.Answer,
    ): StatusResult =
        try {
            StatusResult.Success(EngineProtocol.json.decodeFromString(EngineStatus.serializer(), answer.text()))
        } catch (e: SerializationException) {
            StatusResult.Error(StepError(Step.SERVE, address, "status ${answer.status} cannot be read: ${e.message}"))
        }

    private fun decodeOrder(
        address: String,
        answer: HttpOutcome.Answer,
    ): OrderResult =
        when (answer.status) {
            HttpStatus.OK -> OrderResult.Accepted
            HttpStatus.CONFLICT -> fenced(address, answer)
            else -> OrderResult.Error(StepError(Step.LOAD, address, "status ${answer.status}: ${answer.text()}"))
        }

    private fun fenced(
        address: String,
        answer: HttpOutcome.Answer,
    ): OrderResult =
        try {
            val body = EngineProtocol.json.decodeFromString(FencedAnswer.serializer(), answer.text())
            OrderResult.Fenced(body.current)
        } catch (e: SerializationException) {
            OrderResult.Error(StepError(Step.LOAD, address, "fencing answer cannot be read: ${e.message}"))
        }
}
