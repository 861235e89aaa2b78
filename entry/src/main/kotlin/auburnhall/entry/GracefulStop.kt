/*
 * The waits of a planned stop.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.Deadline
import auburnhall.core.deadlineIn
import auburnhall.gateway.RequestsInProgress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

internal class GracefulStop(
    private val settings: StopSettings,
    private val clock: Clock,
    private val inProgress: RequestsInProgress,
) {
    /** Waits until the balancer has noticed that the process is not ready. */
    fun awaitBalancer() {
        CountDownLatch(1).await(settings.balancerSeconds.toLong(), TimeUnit.SECONDS)
    }

    /** Waits until no request is in progress or the drain time is over. */
    fun awaitRequests() {
        val until = clock.deadlineIn(settings.drainSeconds * MILLIS_PER_SECOND)
        val never = CountDownLatch(1)
        while (inProgress.count > 0 && !until.hasPassed(clock.monotonicMillis())) {
            never.await(CHECK_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    /** Until when peers may be given what this process holds. */
    fun handOverBy(): Deadline = clock.deadlineIn(HAND_OVER_MILLIS)

    /** Runs [action] and waits until it calls back, but not for long. */
    fun awaitDone(action: (() -> Unit) -> Unit) {
        val done = CountDownLatch(1)
        action { done.countDown() }
        done.await(HAND_OVER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
        const val CHECK_MILLIS = 20L
        const val HAND_OVER_MILLIS = 5_000L
    }
}
