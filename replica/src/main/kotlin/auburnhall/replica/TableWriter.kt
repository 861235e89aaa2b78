/*
 * Reads and writes one assignment table in the store, one call at a time. A write without an answer is followed by a
 * read, so that the next write names the revision that is really there.
 */
package auburnhall.replica

import auburnhall.core.AssignmentTable
import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.DataCentreId
import auburnhall.store.KeyValueStore
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import auburnhall.store.StoreEntry
import auburnhall.store.WriteResult

/** What the store told of the table. */
internal sealed interface TableNews {
    /** The key holds [entry], null when it is absent; asked for at [sentAt]. */
    data class Found(
        val entry: StoreEntry?,
        val sentAt: Long,
    ) : TableNews

    /** No answer, or a refusal. */
    data class Failed(
        val message: String,
    ) : TableNews
}

/** The store as [TableWriter] needs it; used on the control thread. */
internal class TableWriter(
    private val dataCentre: DataCentreId,
    private val environment: ReplicaEnvironment,
    private val onNews: (TableNews) -> Unit,
) {
    private val store: KeyValueStore get() = environment.store
    private val loop: ControlLoop get() = environment.loop
    private val clock: Clock get() = environment.clock
    private val key = Keys.assignment(dataCentre)
    private var inFlight = false
    private var mustRead = false
    private var retryAt = Long.MIN_VALUE
    private var delayMillis = ReplicaTiming.STORE_RETRY_MILLIS

    /** Whether a call may be made now. */
    val isReady: Boolean get() = !inFlight && clock.monotonicMillis() >= retryAt

    /** Whether the outcome of the last write is unknown, so that only a read may follow. */
    val isUncertain: Boolean get() = mustRead

    /** Reads the table. */
    fun read() =
        call(
            io = { store.get(key) },
            news = { result, sentAt ->
                when (result) {
                    is ReadResult.Success -> TableNews.Found(result.entries.firstOrNull(), sentAt)
                    is ReadResult.Error -> TableNews.Failed(result.message)
                }
            },
        )

    /** Writes [table] over [revision]. */
    fun write(
        table: AssignmentTable,
        revision: Long,
    ) {
        val value = TableCodec.encode(table)
        call(
            io = { store.compareAndSwap(key, revision, value) },
            news = { result, sentAt -> written(result, value, sentAt) },
        )
    }

    private fun written(
        result: WriteResult,
        value: ByteArray,
        sentAt: Long,
    ): TableNews =
        when (result) {
            is WriteResult.Success -> TableNews.Found(StoreEntry(key, value, result.revision), sentAt)
            is WriteResult.Conflict -> TableNews.Found(result.current, sentAt)
            is WriteResult.Refused -> TableNews.Failed(result.message)
            is WriteResult.Unknown -> {
                mustRead = true
                TableNews.Failed(result.message)
            }
        }

    private fun <T> call(
        io: () -> T,
        news: (T, Long) -> TableNews,
    ) {
        inFlight = true
        val sentAt = clock.monotonicMillis()
        loop.call(io) { result ->
            inFlight = false
            val n = news(result, sentAt)
            backOff(n)
            onNews(n)
        }
    }

    private fun backOff(news: TableNews) {
        if (news is TableNews.Failed) {
            val jitter = environment.random.nextLong(delayMillis / 2)
            retryAt = clock.monotonicMillis() + delayMillis / 2 + jitter
            delayMillis = minOf(delayMillis * 2, ReplicaTiming.STORE_RETRY_MAX_MILLIS)
        } else {
            mustRead = false
            retryAt = Long.MIN_VALUE
            delayMillis = ReplicaTiming.STORE_RETRY_MILLIS
        }
    }
}
