/*
 * Times and sizes of the ledger.
 */
package auburnhall.ledger

/**
 * Times that the parts of the ledger rely on together. A request asks for at most [RESERVE_BUDGET_MILLIS] and may
 * dispatch until [DISPATCH_WINDOW_MILLIS] after it first asked. The owner calls it in progress for longer than that, so
 * nothing is sent any more once a caller was told that the call may have run.
 */
internal object LedgerTimes {
    /** From the moment a request first asked until its first byte must have been sent. */
    const val DISPATCH_WINDOW_MILLIS = 8_000L

    /** From the moment a reservation is kept, or its shard taken over, until it is reported as may have run. */
    const val IN_PROGRESS_MILLIS = 30_000L

    /** Most time that a request spends asking to dispatch. */
    const val RESERVE_BUDGET_MILLIS = 5_000L

    /** Most time that a request spends reporting its outcome. */
    const val COMPLETE_BUDGET_MILLIS = 5_000L

    /** Most time for which an owner lets one call wait for the store. */
    const val OWNER_BUDGET_MILLIS = 1_500L

    /** Shortest time between the beginnings of two commits of a shard. */
    const val COMMIT_GAP_MILLIS = 250L

    /** Shortest time between two attempts of a process to take a shard over. */
    const val TAKE_OVER_GAP_MILLIS = 1_000L

    /** Time for which a recorded answer is given again. */
    const val KEEP_DONE_MILLIS = 3_600_000L

    /** Time for which a call of unknown outcome blocks its key. */
    const val KEEP_UNRESOLVED_MILLIS = 86_400_000L

    /** Time between two clean-ups of a shard. */
    const val CLEAN_UP_MILLIS = 60_000L
}

/** Sizes of the ledger. */
internal object LedgerSizes {
    /**
     * Number of shards. Commits a second of the whole fleet are at most this number divided by
     * [LedgerTimes.COMMIT_GAP_MILLIS], whatever the rate of orders: 128.
     */
    const val SHARDS = 32

    /** A segment of at least this size is closed and the next commit begins another. */
    const val SEGMENT_BYTES = 16 * 1024

    /** Most bytes of new records in one commit. */
    const val BATCH_BYTES = 256 * 1024

    /** Longest body of a recorded answer; of a longer one only the status is kept. */
    const val ANSWER_BYTES = 64 * 1024
}
