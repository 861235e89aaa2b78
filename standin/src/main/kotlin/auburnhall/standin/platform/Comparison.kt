/*
 * The conditions of transactions.
 */
package auburnhall.standin.platform

import auburnhall.proto.etcd.Compare
import auburnhall.proto.etcd.KeyValue
import io.grpc.Status

/** Tells whether the condition is met by [entry], the present value of its key. */
internal fun Compare.holdsFor(entry: KeyValue?): Boolean {
    val (actual, wanted) =
        when (target) {
            Compare.CompareTarget.MOD -> (entry?.modRevision ?: 0) to modRevision
            Compare.CompareTarget.CREATE -> (entry?.createRevision ?: 0) to createRevision
            else -> fail(Status.UNIMPLEMENTED, "compare target $target")
        }
    return when (result) {
        Compare.CompareResult.EQUAL -> actual == wanted
        Compare.CompareResult.NOT_EQUAL -> actual != wanted
        Compare.CompareResult.GREATER -> actual > wanted
        Compare.CompareResult.LESS -> actual < wanted
        else -> fail(Status.INVALID_ARGUMENT, "compare result $result")
    }
}

internal fun fail(
    status: Status,
    message: String,
): Nothing = throw status.withDescription("etcdserver: $message").asRuntimeException()
