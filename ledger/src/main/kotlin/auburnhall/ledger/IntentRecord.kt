/*
 * What the ledger keeps of one call, as it stands in the platform's store.
 */
package auburnhall.ledger

import auburnhall.core.CustomerId
import auburnhall.core.ProcessId
import auburnhall.core.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.charset.CharacterCodingException
import java.util.Base64

/** What identifies a call that may not be repeated: the customer and the key that its caller chose. */
internal data class IntentKey(
    val customer: CustomerId,
    val idempotencyKey: String,
)

internal val IntentRequest.key: IntentKey get() = IntentKey(customer, idempotencyKey)

/** What is known of a call. */
@Serializable
internal enum class IntentState {
    /** One request may dispatch it, or has. */
    @SerialName("r")
    RESERVED,

    /** It was dispatched and its outcome is not known. */
    @SerialName("m")
    MAY_HAVE_RUN,

    /** The target answered. */
    @SerialName("d")
    DONE,

    /** It is certain that it did not run; the key may be used again. */
    @SerialName("f")
    FREED,
}

/**
 * One call.
 *
 * @property request the request that may dispatch it; no other ever may, until it says that nothing was sent.
 * @property process the entry process of [request].
 * @property atMillis wall-clock time of the last change, in milliseconds since 1970.
 */
@Serializable
internal data class IntentRecord(
    @SerialName("c") val customer: CustomerId,
    @SerialName("k") val idempotencyKey: String,
    @SerialName("b") val bodyDigest: String,
    @SerialName("r") val request: RequestId,
    @SerialName("p") val process: ProcessId,
    @SerialName("s") val state: IntentState,
    @SerialName("t") val atMillis: Long,
    @SerialName("a") val answer: StoredAnswer? = null,
) {
    val key: IntentKey get() = IntentKey(customer, idempotencyKey)

    /** Whether the record no longer counts at [nowMillis] of the wall clock. */
    fun isExpired(nowMillis: Long): Boolean =
        when (state) {
            IntentState.RESERVED, IntentState.MAY_HAVE_RUN -> nowMillis - atMillis >= LedgerTimes.KEEP_UNRESOLVED_MILLIS
            IntentState.DONE, IntentState.FREED -> nowMillis - atMillis >= LedgerTimes.KEEP_DONE_MILLIS
        }
}

/** A [RecordedAnswer] as it is stored: [text] when the body is UTF-8, [base64] otherwise. */
@Serializable
internal data class StoredAnswer(
    @SerialName("s") val status: Int,
    @SerialName("c") val contentType: String,
    @SerialName("x") val text: String? = null,
    @SerialName("z") val base64: String? = null,
) {
    fun toRecorded(): RecordedAnswer {
        val body = text?.encodeToByteArray() ?: Base64.getDecoder().decode(base64.orEmpty())
        return RecordedAnswer(status, contentType, body)
    }
}

internal fun RecordedAnswer.toStored(): StoredAnswer {
    val text = decodeOrNull(body)
    val base64 = if (text == null) Base64.getEncoder().encodeToString(body) else null
    return StoredAnswer(status, contentType, text, base64)
}

private fun decodeOrNull(body: ByteArray): String? =
    try {
        body.decodeToString(throwOnInvalidSequence = true)
    } catch (_: CharacterCodingException) {
        null
    }
