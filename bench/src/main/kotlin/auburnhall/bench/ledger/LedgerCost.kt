/*
 * What the ledger costs the platform's store and its owners, as a function of the rate of orders, on virtual time.
 */
package auburnhall.bench.ledger

import java.util.Locale

/** Sends orders at fixed rates through the owners of all shards and counts their writes. */
class LedgerCost {
    /** Writes one line for each rate, then the memory of a record. */
    fun run(out: Appendable) {
        out.append("ledger: seed=$SEED, answers of $ANSWER_BYTES bytes, $SECONDS s of virtual time, store 5 ms\n")
        out.append(
            "orders/s  writes/s  KB written/s  records/commit  stored bytes/order  reserve p50 ms  p99 ms  max ms\n",
        )
        RATES.forEach { out.append(measure(it)).append('\n') }
        out.append("heap bytes a recorded order at its owner: ${heapPerRecord()}\n")
    }

    private fun measure(rate: Int): String {
        val trial = LedgerTrial(SEED, ANSWER_BYTES)
        trial.run(rate, SECONDS)
        return String.format(
            Locale.ROOT,
            "%8d  %8.1f  %12.1f  %14.2f  %18d  %14d  %6d  %6d",
            rate,
            trial.store.writes.toDouble() / SECONDS,
            trial.store.writtenBytes / BYTES_PER_KB / SECONDS,
            trial.records.toDouble() / trial.commits,
            trial.store.storedBytes / trial.orders,
            trial.reserveMillis.getValueAtPercentile(MEDIAN),
            trial.reserveMillis.getValueAtPercentile(HIGH),
            trial.reserveMillis.maxValue,
        )
    }

    /** The difference between two trials that differ only in the number of orders. */
    private fun heapPerRecord(): Long {
        val (few, fewHeap) = heapAfter(SECONDS)
        val (many, manyHeap) = heapAfter(SECONDS * MORE)
        return (manyHeap - fewHeap) / (many - few)
    }

    private fun heapAfter(seconds: Int): Pair<Int, Long> {
        val trial = LedgerTrial(SEED, ANSWER_BYTES)
        trial.run(HEAP_RATE, seconds)
        trial.store.clear()
        return trial.orders to usedHeap().also { check(trial.orders > 0) }
    }

    private fun usedHeap(): Long {
        repeat(COLLECTIONS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }

    private companion object {
        val RATES = listOf(1, 10, 100, 400)
        const val SEED = 1
        const val SECONDS = 60
        const val MORE = 3
        const val HEAP_RATE = 400
        const val ANSWER_BYTES = 400
        const val BYTES_PER_KB = 1_000.0
        const val MEDIAN = 50.0
        const val HIGH = 99.0
        const val COLLECTIONS = 3
    }
}
