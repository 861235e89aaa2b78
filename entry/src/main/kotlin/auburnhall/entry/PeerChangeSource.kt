/*
 * The store's changes from another process.
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
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf

/** One change as it is told to another process. */
@Serializable
class RelayedChange(
    val key: String,
    val revision: Long,
    /** Null for a removal. */
    val value: ByteArray? = null,
) {
    /** The change itself. */
    fun toChange(): StoreChange =
        value?.let { StoreChange.Put(StoreItem(key, it, revision)) } ?: StoreChange.Removed(key, revision)

    companion object {
        /** [change] as it is told. */
        fun of(change: StoreChange) =
            when (change) {
                is StoreChange.Put -> RelayedChange(change.key, change.revision, change.item.value)
                is StoreChange.Removed -> RelayedChange(change.key, change.revision)
            }
    }
}

/** Changes as they are told to another process. */
@Serializable
class RelayedChanges(
    /** The revision up to which they are complete. */
    val at: Long,
    val ageMs: Long,
    val storeWasAway: Boolean = false,
    val changes: List<RelayedChange> = emptyList(),
) {
    /** The bytes that are sent. */
    @OptIn(ExperimentalSerializationApi::class)
    fun encode(): ByteArray = ProtoBuf.encodeToByteArray(serializer(), this)

    companion object {
        /** Reads what [encode] wrote; throws [SerializationException] when it did not. */
        @OptIn(ExperimentalSerializationApi::class)
        fun decode(bytes: ByteArray): RelayedChanges = ProtoBuf.decodeFromByteArray(serializer(), bytes)
    }
}

/** Asks the process [peer] at [address]. */
class PeerChangeSource(
    override val peer: String,
    private val address: Address,
    private val caller: BufferedHttpClient,
) : ChangeSource {
    override fun changes(
        revision: Long,
        waitMs: Long,
        done: StoreCallback<ChangeBatch>,
    ) {
        val uri = "${RelayServer.PATH}?$revision,$waitMs"
        val request = OutboundRequest(HttpMethod.GET, uri, newHeaders(), ByteArray(0))
        caller.call(address, request, waitMs + SLACK_MS) { done(read(it)) }
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
            val told = RelayedChanges.decode(body)
            val changes = StoreChanges(told.changes.map { it.toChange() }, told.at)
            Ok(ChangeBatch(changes, told.ageMs, told.storeWasAway))
        } catch (e: SerializationException) {
            Err(StoreError.NoAnswer(address, "unreadable changes: ${e.message}"))
        }

    private companion object {
        const val OK = 200

        /** Time for an answer once its wait is over, in milliseconds; many round trips within a region. */
        const val SLACK_MS = 300L
    }
}
