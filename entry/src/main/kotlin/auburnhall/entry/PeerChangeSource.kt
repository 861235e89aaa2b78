/*
 * Takes the store's changes from another process over HTTP, and the encoding of those changes.
 */
package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.StoreCallback
import auburnhall.core.StoreChange
import auburnhall.core.StoreChanges
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.http.BufferedHttpClient
import auburnhall.http.BufferedResult
import auburnhall.http.OutboundRequest
import auburnhall.http.newHeaders
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf

/** One change as it is sent to another process. */
@Serializable
class RelayedChange(
    val key: String,
    val revision: Long,
    /** Null when the key was removed. */
    val value: ByteArray? = null,
) {
    fun toChange(): StoreChange =
        value?.let { StoreChange.Put(StoreItem(key, it, revision)) } ?: StoreChange.Removed(key, revision)

    companion object {
        fun of(change: StoreChange) =
            when (change) {
                is StoreChange.Put -> RelayedChange(change.key, change.revision, change.item.value)
                is StoreChange.Removed -> RelayedChange(change.key, change.revision)
            }
    }
}

/** A batch of changes as it is sent to another process. */
@Serializable
class RelayedChanges(
    /** The revision of the store up to which [changes] is complete. */
    val at: Long,
    /** See [ChangeBatch.ageMs]. */
    val ageMs: Long,
    /** See [ChangeBatch.storeWasUnavailable]. */
    @SerialName("storeWasAway") val storeWasUnavailable: Boolean = false,
    val changes: List<RelayedChange> = emptyList(),
) {
    /** The response body. */
    @OptIn(ExperimentalSerializationApi::class)
    fun encode(): ByteArray = ProtoBuf.encodeToByteArray(serializer(), this)

    companion object {
        /** Decodes the output of [encode]; throws [SerializationException] for other bytes. */
        @OptIn(ExperimentalSerializationApi::class)
        fun decode(bytes: ByteArray): RelayedChanges = ProtoBuf.decodeFromByteArray(serializer(), bytes)
    }
}

/** Requests changes from the [RelayServer] of the process [peer] at [address]. */
class PeerChangeSource(
    override val peer: String,
    private val address: Address,
    private val client: BufferedHttpClient,
) : ChangeSource {
    override fun changes(
        revision: Long,
        waitMs: Long,
        done: StoreCallback<ChangeBatch>,
    ) {
        val uri = "${RelayServer.PATH}?$revision,$waitMs"
        val request = OutboundRequest(HttpMethod.GET, uri, newHeaders(), ByteArray(0))
        client.call(address, request, waitMs + RESPONSE_MARGIN_MS) { done(read(it)) }
    }

    private fun read(result: BufferedResult): Result<ChangeBatch, StoreError> =
        when {
            result is BufferedResult.Failed -> Err(StoreError.NoAnswer(address, result.cause))
            result !is BufferedResult.Completed || result.status != OK -> Err(StoreError.TurnedAway(statusOf(result)))
            else -> decode(result.body)
        }

    private fun statusOf(result: BufferedResult) = (result as? BufferedResult.Completed)?.status ?: 0

    private fun decode(body: ByteArray): Result<ChangeBatch, StoreError> =
        try {
            val relayed = RelayedChanges.decode(body)
            val changes = StoreChanges(relayed.changes.map { it.toChange() }, relayed.at)
            Ok(ChangeBatch(changes, relayed.ageMs, relayed.storeWasUnavailable))
        } catch (e: SerializationException) {
            Err(StoreError.NoAnswer(address, "cannot decode relayed changes: ${e.message}"))
        }

    private companion object {
        const val OK = 200

        /** Time allowed for the response after the requested wait is over; many round trips within a region. */
        const val RESPONSE_MARGIN_MS = 300L
    }
}
