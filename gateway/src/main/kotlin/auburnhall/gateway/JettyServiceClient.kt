/*
 * Calls plain services with Jetty's client. A call counts as sent from the moment at which the client begins to write
 * it to an established connection; whatever fails before that certainly did not reach the service.
 */
package auburnhall.gateway

import auburnhall.core.Clock
import auburnhall.core.Step
import auburnhall.core.StepError
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.http.HttpCookieStore
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.net.URI
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicReference
import org.eclipse.jetty.client.Request as JettyRequest

/**
 * Sizes and times of the client of plain services.
 *
 * @property answerBytes largest answer; a larger one is dropped.
 * @property connectMillis time within which a connection must be open.
 */
data class ServiceClientSettings(
    val answerBytes: Int = ANSWER_BYTES,
    val connectMillis: Long = 1_000,
    val threads: Int = 16,
    val connectionsPerInstance: Int = 256,
) {
    private companion object {
        const val ANSWER_BYTES = 8 * 1024 * 1024
    }
}

/** Returns a [ServiceClient] over HTTP/1.1. */
fun ServiceClient(
    clock: Clock,
    settings: ServiceClientSettings = ServiceClientSettings(),
): ServiceClient = JettyServiceClient(clock, settings)

internal class JettyServiceClient(
    private val clock: Clock,
    private val settings: ServiceClientSettings,
) : ServiceClient {
    private val client = start()

    override fun call(call: ServiceCall): ServiceResult {
        val dispatch = Dispatch(call, clock, settings.answerBytes)
        val request = request(call).onRequestBegin(dispatch::onBegin)
        request.send(dispatch)
        return dispatch.await(call.answerBy.remainingMillis(clock.monotonicMillis()) + GRACE_MILLIS)
    }

    override fun close() = client.stop()

    private fun request(call: ServiceCall): JettyRequest {
        val left = call.answerBy.remainingMillis(clock.monotonicMillis()).coerceAtLeast(1)
        val request =
            client
                .newRequest(URI.create("http://${call.address}${call.path}"))
                .method(call.method)
                .timeout(left, TimeUnit.MILLISECONDS)
                .headers { fields -> call.headers.forEach { fields.add(HttpField(it.name, it.value)) } }
        if (call.fresh) request.headers { it.put("Connection", "close") }
        return if (call.body.isEmpty()) request else request.body(BytesRequestContent(contentType(call), call.body))
    }

    private fun contentType(call: ServiceCall): String? =
        call.headers.firstOrNull { it.name.equals("Content-Type", ignoreCase = true) }?.value

    private fun start(): HttpClient {
        val connector = ClientConnector().apply { selectors = 1 }
        val http = HttpClient(HttpClientTransportOverHTTP(connector))
        http.executor = QueuedThreadPool(settings.threads).apply { isDaemon = true }
        http.connectTimeout = settings.connectMillis
        http.maxConnectionsPerDestination = settings.connectionsPerInstance
        http.isFollowRedirects = false
        http.userAgentField = null
        http.httpCookieStore = HttpCookieStore.Empty()
        http.start()
        http.contentDecoderFactories.clear()
        return http
    }

    private companion object {
        /** How long the client's own timeout may lag. */
        const val GRACE_MILLIS = 500L
    }
}

/** One call in progress. Callbacks come from the client's threads. */
private class Dispatch(
    private val call: ServiceCall,
    private val clock: Clock,
    answerBytes: Int,
) : BufferingResponseListener(answerBytes) {
    private val outcome = CompletableFuture<ServiceResult>()

    private val state = AtomicReference(State.WAITING)

    private enum class State { WAITING, SENDING, ABANDONED }

    /** Runs just before the first byte is written. */
    fun onBegin(request: JettyRequest) {
        val late = call.dispatchBefore?.hasPassed(clock.monotonicMillis()) ?: false
        if (late || !state.compareAndSet(State.WAITING, State.SENDING)) {
            request.abort(TimeoutException("The time to pass it on ran out."))
        }
    }

    override fun onComplete(result: Result) {
        outcome.complete(resultOf(result))
    }

    /** Waits up to [millis] for the outcome. */
    fun await(millis: Long): ServiceResult =
        try {
            outcome.get(millis, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            failure("No answer came in time.")
        } catch (e: ExecutionException) {
            failure(e.message.orEmpty())
        }

    private fun resultOf(result: Result): ServiceResult {
        val cause = result.failure ?: return answered(result)
        return failure(cause.message ?: cause.javaClass.simpleName)
    }

    private fun answered(result: Result): ServiceResult {
        val response = result.response
        val type = response.headers.get("Content-Type") ?: "application/octet-stream"
        val headers = response.headers.filter { isReturned(it.name) }.map { HeaderField(it.name, it.value.orEmpty()) }
        return ServiceResult.Answered(response.status, type, headers, content ?: ByteArray(0))
    }

    private fun failure(message: String): ServiceResult {
        val error = StepError(Step.DISPATCH, call.address, message)
        val unsent = state.compareAndSet(State.WAITING, State.ABANDONED) || state.get() == State.ABANDONED
        return if (unsent) ServiceResult.NotSent(error) else ServiceResult.MayHaveBeenReceived(error)
    }
}
