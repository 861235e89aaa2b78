/*
 * A caller that reads a streamed answer.
 */
package auburnhall.process

import auburnhall.standin.engine.ReferenceAnswer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.io.UncheckedIOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture

/** A chat completion of [tokens] tokens asked of [entry], read on a thread of its own. */
class StreamedChat(
    entry: TestInstance,
    private val tokens: Int,
    key: String = TestFleet.CUSTOMER_KEY,
) {
    private val text = StringBuffer()

    /** Set once `[DONE]` has come. */
    @Volatile
    var isComplete = false
        private set

    /** The error event, if one came. */
    @Volatile
    var error: String? = null
        private set

    @Volatile
    var requestId = ""
        private set

    @Volatile
    var status = 0
        private set

    private val reader: CompletableFuture<Void> = CompletableFuture.runAsync { read(entry, key) }

    /** Tokens received so far. */
    val received: Int get() = ReferenceAnswer.countTokens(text.toString())

    /** Waits until [count] tokens have come. */
    fun awaitTokens(
        count: Int,
        details: () -> String,
    ) = awaitUntil("$count tokens (error: $error)", details) { received >= count || reader.isDone }

    /** Waits for the end of the answer. */
    fun awaitEnd(details: () -> String) = awaitUntil("the end of the answer", details) { reader.isDone }

    /** Whether the text is the whole reference answer, each token once and in order. */
    val isWhole: Boolean get() = isComplete && error == null && text.toString() == ReferenceAnswer.text(PROMPT, tokens)

    private fun read(
        entry: TestInstance,
        key: String,
    ) {
        val body =
            """{"model":"assistant","stream":true,"max_tokens":$tokens,""" +
                """"messages":[{"role":"user","content":"Hello"}]}"""
        val request =
            HttpRequest
                .newBuilder(URI("http://${entry.address}/v1/chat/completions"))
                .header("Authorization", "Bearer $key")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
        try {
            val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofLines())
            requestId = response.headers().firstValue("X-Request-Id").orElse("")
            status = response.statusCode()
            response.body().forEach { onLine(it) }
        } catch (e: IOException) {
            error = "connection broken: ${e.message}"
        } catch (e: UncheckedIOException) {
            error = "connection broken: ${e.message}"
        }
    }

    private fun onLine(line: String) {
        when {
            line == "data: [DONE]" -> isComplete = true
            line.startsWith("data: ") -> onEvent(Json.parseToJsonElement(line.removePrefix("data: ")).jsonObject)
            line.startsWith("{") -> error = line
        }
    }

    private fun onEvent(event: JsonObject) {
        event["error"]?.let { error = it.toString() }
        val choice = event["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return
        choice["delta"]
            ?.jsonObject
            ?.get("content")
            ?.jsonPrimitive
            ?.contentOrNull
            ?.let { text.append(it) }
    }

    private companion object {
        const val PROMPT = "user: Hello"
    }
}
