/*
 * Calls an entry process as a customer of the stand-in's configuration does: a stream, an order and an unknown route.
 * The build uses it to make the class-data archive from a run that serves requests.
 */
package auburnhall.standin

import auburnhall.core.Address
import auburnhall.core.Clock
import auburnhall.http.BufferedHttpClient
import auburnhall.http.BufferedResult
import auburnhall.http.EventLoopScheduler
import auburnhall.http.HttpBody
import auburnhall.http.HttpClient
import auburnhall.http.OutboundRequest
import auburnhall.http.newEventLoop
import auburnhall.http.newHeaders
import io.netty.handler.codec.http.HttpMethod
import java.util.concurrent.CompletableFuture

/** Calls the entry process at [entry]. */
internal class SampleCaller(
    private val entry: Address,
) {
    private val loop = newEventLoop("caller")
    private val client = BufferedHttpClient(HttpClient(loop, Clock.SYSTEM), EventLoopScheduler(loop))

    /** Makes all calls, one after the other; returns whether each was answered with the expected status. */
    fun run(): Boolean {
        val statuses = CALLS.map { (path, expected) -> call(path) == expected }
        return statuses.all { it }
    }

    private fun call(path: String): Int? {
        val headers =
            newHeaders()
                .set("Host", "chat.example")
                .set("Authorization", "Bearer demo-key")
                .set("Model", "assistant")
                .set("Token-Count", "100,50")
                .set("Time-Remaining", "$TIMEOUT_MS")
                .set("Attempt-Id", "sample${path.replace('/', '-')}-${System.nanoTime()}")
        val request = OutboundRequest(HttpMethod.POST, path, headers, HttpBody.of("{}".toByteArray()))
        val answered = CompletableFuture<BufferedResult>()
        loop.execute { client.call(entry, request, TIMEOUT_MS) { answered.complete(it) } }
        val result = answered.get()
        println("$path ${(result as? BufferedResult.Completed)?.status ?: result}")
        return (result as? BufferedResult.Completed)?.status
    }

    private companion object {
        const val TIMEOUT_MS = 8_000L
        const val OK = 200
        const val NOT_FOUND = 404
        val CALLS = listOf("/chat/draft" to OK, "/chat/draft" to OK, "/orders/new" to OK, "/unknown" to NOT_FOUND)
    }
}
