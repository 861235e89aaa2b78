/*
 * Reports of the calls made to the key-value service, for metrics.
 */
package auburnhall.store.etcd

import auburnhall.core.Clock

/** What was asked of the service. */
enum class StoreOperation { GET, LIST, WRITE, DELETE, GRANT_LEASE, KEEP_ALIVE, REVOKE_LEASE, WATCH }

/** How a call ended. */
enum class StoreOutcome {
    /** It was carried out. */
    SUCCESS,

    /** The key had another revision. */
    CONFLICT,

    /** The lease is not known to the service. */
    LOST,

    /** The service refused it. */
    REFUSED,

    /** No answer came in time; a write may have taken effect. */
    NO_ANSWER,
}

/** Is told of every call when it ends, on the thread that made it. */
fun interface StoreListener {
    /** [operation] ended with [outcome] after [millis]; a watch is reported when it was lost, with 0. */
    fun onCall(
        operation: StoreOperation,
        outcome: StoreOutcome,
        millis: Long,
    )

    companion object {
        /** Ignores all calls. */
        val NONE = StoreListener { _, _, _ -> }
    }
}

internal class CallReporter(
    private val listener: StoreListener,
    private val clock: Clock,
) {
    /** Carries out [call] and reports it with the outcome that [outcomeOf] reads from its result. */
    fun <T> report(
        operation: StoreOperation,
        outcomeOf: (T) -> StoreOutcome,
        call: () -> T,
    ): T {
        val start = clock.monotonicMillis()
        val result = call()
        listener.onCall(operation, outcomeOf(result), clock.monotonicMillis() - start)
        return result
    }

    /** Reports the end of a watch. */
    fun watchEnded(outcome: StoreOutcome) = listener.onCall(StoreOperation.WATCH, outcome, 0)
}
