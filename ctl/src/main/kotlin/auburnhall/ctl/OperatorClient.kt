/*
 * Talks to the operators' interface of whichever entry process answers.
 */
package auburnhall.ctl

import auburnhall.config.api.ErrorReply
import auburnhall.http.HttpCall
import auburnhall.http.HttpCaller
import auburnhall.http.HttpHeader
import auburnhall.http.HttpOutcome
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Outcome of a call to an entry process. */
internal sealed interface ReplyResult<out T> {
    /** The entry process answered as its interface says. */
    data class Success<T>(
        val value: T,
    ) : ReplyResult<T>

    /** The entry process refused the call. */
    data class Refused(
        val status: Int,
        val message: String,
    ) : ReplyResult<Nothing>

    /** No entry process answered. */
    data class Unreachable(
        val message: String,
    ) : ReplyResult<Nothing>
}

/** A call of [path] with the JSON [body], if any. */
internal data class OperatorCall(
    val method: String,
    val path: String,
    val body: String? = null,
)

/** Calls the [entries] in turn until one answers. Every call may safely be repeated. */
internal class OperatorClient(
    private val caller: HttpCaller,
    private val entries: List<String>,
    private val operatorKey: String,
) {
    private val lenient = Json { ignoreUnknownKeys = true }

    /** Makes [call]. An answer whose status is not in [expected] is a refusal. */
    fun <T> call(
        call: OperatorCall,
        serializer: KSerializer<T>,
        expected: (Int) -> Boolean = { it == OK },
    ): ReplyResult<T> {
        val failures = ArrayList<String>()
        for (entry in entries) {
            when (val outcome = caller.call(httpCall(entry, call))) {
                is HttpOutcome.Answer -> return read(outcome, serializer, expected)
                is HttpOutcome.NoAnswer -> failures += "$entry: ${outcome.message}"
            }
        }
        return ReplyResult.Unreachable(failures.joinToString("; "))
    }

    private fun httpCall(
        entry: String,
        call: OperatorCall,
    ) = HttpCall(
        method = call.method,
        url = "http://$entry${call.path}",
        timeoutMillis = TIMEOUT_MILLIS,
        body = call.body?.encodeToByteArray(),
        headers = listOf(HttpHeader("Authorization", "Bearer $operatorKey")),
    )

    private fun <T> read(
        answer: HttpOutcome.Answer,
        serializer: KSerializer<T>,
        expected: (Int) -> Boolean,
    ): ReplyResult<T> =
        try {
            if (expected(answer.status)) {
                ReplyResult.Success(lenient.decodeFromString(serializer, answer.text()))
            } else {
                val error = lenient.decodeFromString(ErrorReply.serializer(), answer.text())
                ReplyResult.Refused(answer.status, error.message)
            }
        } catch (e: SerializationException) {
            ReplyResult.Refused(answer.status, "unexpected answer with status ${answer.status}: ${e.message}")
        }

    private companion object {
        const val OK = 200
        const val TIMEOUT_MILLIS = 60_000L
    }
}
