/*
 * Reads and one-key transactions over the etcd v3 protocol.
 */
package auburnhall.store.etcd

import auburnhall.proto.etcd.Compare
import auburnhall.proto.etcd.DeleteRangeRequest
import auburnhall.proto.etcd.KVGrpc
import auburnhall.proto.etcd.KeyValue
import auburnhall.proto.etcd.PutRequest
import auburnhall.proto.etcd.RangeRequest
import auburnhall.proto.etcd.RangeResponse
import auburnhall.proto.etcd.RequestOp
import auburnhall.proto.etcd.TxnRequest
import auburnhall.proto.etcd.TxnResponse
import auburnhall.store.ABSENT
import auburnhall.store.ReadResult
import auburnhall.store.StoreEntry
import auburnhall.store.WriteResult
import com.google.protobuf.ByteString
import io.grpc.StatusRuntimeException
import java.util.concurrent.TimeUnit

internal class EtcdKeys(
    private val connection: EtcdConnection,
    private val calls: CallReporter,
) {
    fun get(key: String): ReadResult = range(StoreOperation.GET, rangeOfKey(key))

    fun list(prefix: String): ReadResult = range(StoreOperation.LIST, rangeOfPrefix(prefix))

    fun put(
        key: String,
        expectedRevision: Long,
        value: ByteArray,
        lease: Long,
    ): WriteResult {
        val put =
            PutRequest
                .newBuilder()
                .setKey(bytes(key))
                .setValue(ByteString.copyFrom(value))
                .setLease(lease)
        return write(StoreOperation.WRITE, key, expectedRevision, RequestOp.newBuilder().setRequestPut(put).build())
    }

    fun delete(
        key: String,
        expectedRevision: Long,
    ): WriteResult {
        val delete = DeleteRangeRequest.newBuilder().setKey(bytes(key))
        val op = RequestOp.newBuilder().setRequestDeleteRange(delete).build()
        return write(StoreOperation.DELETE, key, expectedRevision, op)
    }

    private fun range(
        operation: StoreOperation,
        request: RangeRequest,
    ): ReadResult =
        calls.report(operation, ::outcomeOf) {
            try {
                val reply = stub().range(request)
                ReadResult.Success(reply.kvsList.map { it.toEntry() }, reply.header.revision)
            } catch (e: StatusRuntimeException) {
                connection.onFailure(e.status)
                ReadResult.Error("$operation at ${connection.address}: ${e.status.describe()}")
            }
        }

    private fun write(
        operation: StoreOperation,
        key: String,
        expectedRevision: Long,
        change: RequestOp,
    ): WriteResult =
        calls.report(operation, ::outcomeOf) {
            val request =
                TxnRequest
                    .newBuilder()
                    .addCompare(compare(key, expectedRevision))
                    .addSuccess(change)
                    .addFailure(RequestOp.newBuilder().setRequestRange(rangeOfKey(key)))
                    .build()
            try {
                resultOf(stub().txn(request))
            } catch (e: StatusRuntimeException) {
                connection.onFailure(e.status)
                val message = "$operation $key at ${connection.address}: ${e.status.describe()}"
                if (e.status.isRefusal()) WriteResult.Refused(message) else WriteResult.Unknown(message)
            }
        }

    private fun resultOf(reply: TxnResponse): WriteResult =
        if (reply.succeeded) {
            WriteResult.Success(reply.header.revision)
        } else {
            WriteResult.Conflict(currentOf(reply.getResponses(0).responseRange))
        }

    private fun stub() =
        KVGrpc
            .newBlockingStub(connection.channel)
            .withDeadlineAfter(connection.callTimeoutMillis, TimeUnit.MILLISECONDS)
}

private fun currentOf(range: RangeResponse) = range.kvsList.firstOrNull()?.toEntry()

private fun compare(
    key: String,
    expectedRevision: Long,
): Compare {
    val compare = Compare.newBuilder().setKey(bytes(key)).setResult(Compare.CompareResult.EQUAL)
    return if (expectedRevision == ABSENT) {
        compare.setTarget(Compare.CompareTarget.CREATE).setCreateRevision(0).build()
    } else {
        compare.setTarget(Compare.CompareTarget.MOD).setModRevision(expectedRevision).build()
    }
}

private fun rangeOfKey(key: String) = RangeRequest.newBuilder().setKey(bytes(key)).build()

private fun rangeOfPrefix(prefix: String) =
    RangeRequest
        .newBuilder()
        .setKey(bytes(prefix))
        .setRangeEnd(rangeEnd(prefix))
        .build()

internal fun bytes(key: String): ByteString = ByteString.copyFromUtf8(key)

/** The first key after all keys that start with [prefix]: the prefix with its last byte raised by one. */
internal fun rangeEnd(prefix: String): ByteString {
    require(prefix.isNotEmpty()) { "a prefix must not be empty" }
    val end = prefix.encodeToByteArray()
    end[end.lastIndex] = (end.last() + 1).toByte()
    return ByteString.copyFrom(end)
}

internal fun KeyValue.toEntry() = StoreEntry(key.toStringUtf8(), value.toByteArray(), modRevision)

private fun outcomeOf(result: ReadResult) =
    when (result) {
        is ReadResult.Success -> StoreOutcome.SUCCESS
        is ReadResult.Error -> StoreOutcome.NO_ANSWER
    }

private fun outcomeOf(result: WriteResult) =
    when (result) {
        is WriteResult.Success -> StoreOutcome.SUCCESS
        is WriteResult.Conflict -> StoreOutcome.CONFLICT
        is WriteResult.Refused -> StoreOutcome.REFUSED
        is WriteResult.Unknown -> StoreOutcome.NO_ANSWER
    }
