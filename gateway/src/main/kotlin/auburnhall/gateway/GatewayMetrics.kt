/*
 * Prometheus metrics of requests. Every name carries its unit.
 */
package auburnhall.gateway

import auburnhall.core.RequestId
import auburnhall.core.StepError
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.Unit.SECONDS

/** Counts requests in [registry]. One for each registry. */
class GatewayMetrics(
    private val registry: PrometheusRegistry,
    inProgress: RequestsInProgress,
) : GatewayListener {
    private val firstToken = seconds("auburnhall_first_token_seconds", "Time from arrival to the first token.")
    private val betweenTokens = seconds("auburnhall_between_tokens_seconds", "Time between two tokens of an answer.")
    private val queue = seconds("auburnhall_queue_seconds", "Time that admitted requests spent in the queue.")
    private val took = seconds("auburnhall_request_seconds", "Time from arrival to the end of the answer.")
    private val requests = counter("auburnhall_requests_total", "Requests that ended, by status.", "status")
    private val refusals = counter("auburnhall_refusals_total", "Requests refused or failed, by reason.", "reason")
    private val failures = counter("auburnhall_attempt_failures_total", "Failed attempts at targets, by step.", "step")
    private val retries = counter("auburnhall_retries_total", "Attempts beyond the first of a request.")
    private val tokens = counter("auburnhall_generated_tokens_total", "Generated tokens given to callers.")

    init {
        GaugeWithCallback
            .builder()
            .name("auburnhall_requests_in_progress")
            .help("Requests whose answers are not complete.")
            .callback { it.call(inProgress.count.toDouble()) }
            .register(registry)
    }

    override fun onAdmitted(
        requestId: RequestId,
        waitedMillis: Long,
    ) = queue.observe(waitedMillis / MILLIS_PER_SECOND)

    override fun onFirstToken(
        requestId: RequestId,
        sinceArrivalMillis: Long,
    ) = firstToken.observe(sinceArrivalMillis / MILLIS_PER_SECOND)

    override fun onToken(sinceLastMillis: Long) = betweenTokens.observe(sinceLastMillis / MILLIS_PER_SECOND)

    override fun onAttemptFailed(
        requestId: RequestId,
        error: StepError,
    ) = failures.labelValues(error.step.name.lowercase()).inc()

    override fun onRetry(requestId: RequestId) = retries.inc()

    override fun onEnd(summary: RequestSummary) {
        requests.labelValues(summary.status.toString()).inc()
        summary.reason?.let { refusals.labelValues(it.code).inc() }
        tokens.inc(summary.tokens.toDouble())
        took.observe(summary.tookMillis / MILLIS_PER_SECOND)
    }

    private fun seconds(
        name: String,
        help: String,
    ): Histogram =
        Histogram
            .builder()
            .name(name)
            .help(help)
            .unit(SECONDS)
            .classicOnly()
            .classicExponentialUpperBounds(LOWEST_BOUND_SECONDS, BOUND_FACTOR, BOUNDS)
            .register(registry)

    private fun counter(
        name: String,
        help: String,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name(name)
            .help(help)
            .labelNames(*labels)
            .register(registry)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val LOWEST_BOUND_SECONDS = 0.002
        const val BOUND_FACTOR = 1.6
        const val BOUNDS = 24
    }
}
