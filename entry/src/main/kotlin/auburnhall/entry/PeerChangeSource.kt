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
import auburnhall.http.HttpBody
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
    /** The era of the store in which [at] was reached. */
    val era: Long = 0,
    /** A compressed batch that replaces this one; only in responses to processes that understand it. */
    val compressed: ByteArray? = null,
) {
    /** The response body. */
    @OptIn(ExperimentalSerializationApi::class)
    fun encode(): ByteArray = ProtoBuf.encodeToByteArray(serializer(), this)

    /** The response body, compressed if it is long; the outer batch then changes nothing by itself. */
    fun encodeCompressed(): ByteArray {
        val plain = encode()
        if (plain.size < BatchCompression.MIN_BYTES) return plain
        return RelayedChanges(at = 0, ageMs, compressed = BatchCompression.deflate(plain)).encode()
    }

    companion object {
        /** Decodes a response body; throws [SerializationException] for other bytes. */
        fun decode(bytes: ByteArray): RelayedChanges {
            val read = decodePlain(bytes)
            return read.compressed?.let { decodePlain(BatchCompression.inflate(it)) } ?: read
        }

        @OptIn(ExperimentalSerializationApi::class)
        private fun decodePlain(bytes: ByteArray): RelayedChanges = ProtoBuf.decodeFromByteArray(serializer(), bytes)
    }
}

/** Requests changes from the [RelayServer] of the process [peer] at [address]. */
class PeerChangeSource(
    override val peer: String,
    private val address: Address,
    private val client: BufferedHttpClient,
) : ChangeSource {
    override fun changes(
        poll: RelayPoll,
        done: StoreCallback<ChangeBatch>,
    ) {
        val request = OutboundRequest(HttpMethod.GET, poll.uri, newHeaders(), HttpBody.EMPTY)
        client.call(address, request, poll.waitMs + RESPONSE_MARGIN_MS) { result ->
            when (result) {
                is BufferedResult.Failed -> done(Err(StoreError.NoAnswer(address, result.cause)))
                is BufferedResult.Completed -> done(read(address, result.status, result.body))
            }
        }
    }

    companion object {
        private const val OK = 200
        private const val GONE = 410

        /** Time allowed for the response after the requested wait is over; many round trips within a region. */
        const val RESPONSE_MARGIN_MS = 300L

        /** The changes in a response of the relay server at [peer]. */
        fun read(
            peer: Address,
            status: Int,
            body: ByteArray,
        ): Result<ChangeBatch, StoreError> =
            try {
                when (status) {
                    OK -> Ok(batchOf(RelayedChanges.decode(body)))
                    GONE -> Err(StoreError.HistoryGone)
                    else -> Err(StoreError.TurnedAway(status))
                }
            } catch (e: SerializationException) {
                Err(StoreError.NoAnswer(peer, "cannot decode relayed changes: ${e.message}"))
            }

        private fun batchOf(relayed: RelayedChanges): ChangeBatch {
            val changes = StoreChanges(relayed.changes.map { it.toChange() }, relayed.at)
            return ChangeBatch(changes, relayed.ageMs, relayed.storeWasUnavailable, relayed.era)
        }
    }
}
