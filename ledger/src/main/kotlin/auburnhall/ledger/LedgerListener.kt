/*
 * Reports of what the owner of ledger shards does, for metrics and logs.
 */
package auburnhall.ledger

/** Is told of each step, on the control thread. */
interface LedgerListener {
    /** [records] records were kept by one write of [bytes] bytes, [millis] after it was first tried. */
    fun onCommit(
        shard: Int,
        records: Int,
        bytes: Int,
        millis: Long,
    ) = Unit

    /** The store gave no answer to a write of [shard], or refused it. */
    fun onCommitFailed(
        shard: Int,
        message: String,
    ) = Unit

    /** This process now owns [shard], which has [records] records. */
    fun onTakenOver(
        shard: Int,
        epoch: Long,
        records: Int,
    ) = Unit

    /** Another process has taken [shard] over. */
    fun onLost(shard: Int) = Unit

    companion object {
        /** Ignores everything. */
        val NONE = object : LedgerListener {}
    }
}
