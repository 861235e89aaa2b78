/*
 * Short HTTP calls to other processes through Jetty's client: one request, one answer held in memory.
 */
package auburnhall.http

import org.eclipse.jetty.client.BytesRequestContent
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP
import org.eclipse.jetty.io.ClientConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** One header of a call. */
data class HttpHeader(
    val name: String,
    val value: String,
)

/** A call to [url]. No answer within [timeoutMillis] ends it. */
data class HttpCall(
    val method: String,
    val url: String,
    val timeoutMillis: Long,
    val body: ByteArray? = null,
    val contentType: String = "application/json",
    val headers: List<HttpHeader> = emptyList(),
) {
    override fun equals(other: Any?): Boolean =
        other is HttpCall && method == other.method && url == other.url && body.contentEquals(other.body)

    override fun hashCode(): Int = url.hashCode()
}

/** Outcome of a call. */
sealed interface HttpOutcome {
    /** The peer answered with [status]. */
    data class Answer(
        val status: Int,
        val body: ByteArray,
    ) : HttpOutcome {
        /** The body read as UTF-8. */
        fun text(): String = body.decodeToString()

        override fun equals(other: Any?): Boolean =
            other is Answer && status == other.status && body.contentEquals(other.body)

        override fun hashCode(): Int = status
    }

    /** No answer came; the peer may have received the call. */
    data class NoAnswer(
        val message: String,
    ) : HttpOutcome
}

/** Makes short calls. Safe for use by any number of threads; a call blocks its thread. */
interface HttpCaller : AutoCloseable {
    /** Makes [call] and waits for its outcome. */
    fun call(call: HttpCall): HttpOutcome

    override fun close()
}

/** Returns an [HttpCaller] on [client], which is stopped with it. */
fun HttpCaller(client: HttpClient = startedHttpClient()): HttpCaller = JettyHttpCaller(client)

/** Returns a running Jetty client with daemon threads and [connectTimeoutMillis] for each connection. */
fun startedHttpClient(connectTimeoutMillis: Long = DEFAULT_CONNECT_MILLIS): HttpClient {
    val connector = ClientConnector()
    connector.selectors = 1
    return HttpClient(HttpClientTransportOverHTTP(connector)).apply {
        executor = QueuedThreadPool(CLIENT_THREADS).apply { isDaemon = true }
        connectTimeout = connectTimeoutMillis
        maxConnectionsPerDestination = CONNECTIONS_PER_DESTINATION
        isFollowRedirects = false
        start()
    }
}

private const val DEFAULT_CONNECT_MILLIS = 1_000L
private const val CLIENT_THREADS = 64
private const val CONNECTIONS_PER_DESTINATION = 1_024

internal class JettyHttpCaller(
    private val client: HttpClient,
) : HttpCaller {
    override fun call(call: HttpCall): HttpOutcome {
        val request = client.newRequest(call.url).method(call.method)
        request.timeout(call.timeoutMillis, TimeUnit.MILLISECONDS)
        call.headers.forEach { h -> request.headers { it.add(h.name, h.value) } }
        call.body?.let { request.body(BytesRequestContent(call.contentType, it)) }
        return try {
            val response = request.send()
            HttpOutcome.Answer(response.status, response.content)
        } catch (e: TimeoutException) {
            HttpOutcome.NoAnswer("no answer in ${call.timeoutMillis} ms (${e.message})")
        } catch (e: ExecutionException) {
            HttpOutcome.NoAnswer(e.cause?.message ?: e.toString())
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
            HttpOutcome.NoAnswer("interrupted: ${e.message}")
        }
    }

    override fun close() = client.stop()
}
