/*
 * The metrics of the entry process, served in the Prometheus text format.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.gateway.GatewayMetrics
import auburnhall.http.CloseReason
import auburnhall.http.StrayKind
import auburnhall.routing.QuarantinedPart
import auburnhall.routing.SendObservation
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

class EntryMetrics : GatewayMetrics {
    private val registry = PrometheusRegistry()
    private val answers =
        Counter
            .builder()
            .name("auburnhall_answers_total")
            .help("Requests by kind and outcome.")
            .labelNames("kind", "outcome")
            .register(registry)
    private val retries =
        Counter
            .builder()
            .name("auburnhall_retries_total")
            .help("Retries of requests, by reason.")
            .labelNames("reason")
            .register(registry)
    private val strayBytes =
        Counter
            .builder()
            .name("auburnhall_worker_stray_bytes_total")
            .help("Times at which bytes of workers belonged to no response that was awaited, by kind.")
            .labelNames("kind")
            .register(registry)
    private val cutConnections =
        Counter
            .builder()
            .name("auburnhall_caller_connections_cut_total")
            .help("Connections of callers closed with bytes unsent or requests unanswered, by reason.")
            .labelNames("reason")
            .register(registry)
    private val latency =
        Histogram
            .builder()
            .name("auburnhall_answer_seconds")
            .help("Time from receipt of the complete request to the end of the response, by kind and outcome.")
            .labelNames("kind", "outcome")
            .classicOnly()
            .classicExponentialUpperBounds(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT)
            .register(registry)

    private val sendLoad =
        Histogram
            .builder()
            .name("auburnhall_send_load_per_slot")
            .help("Known load per slot of the target of each request when it was sent.")
            .classicOnly()
            .classicLinearUpperBounds(LOAD_BUCKET, LOAD_BUCKET, LOAD_BUCKETS)
            .register(registry)
    private val fullTargetSends =
        Counter
            .builder()
            .name("auburnhall_full_target_sends_total")
            .help("Requests sent to a target known to be full, or much fuller than the least loaded one, by reason.")
            .labelNames("reason")
            .register(registry)

    override fun onRequestEnded(
        kind: String,
        outcome: String,
        tookMs: Long,
    ) {
        answers.labelValues(kind, outcome).inc()
        latency.labelValues(kind, outcome).observe(tookMs / MS_PER_SECOND)
    }

    override fun onRetry(reason: String) = retries.labelValues(reason).inc()

    override fun onSent(observation: SendObservation) {
        sendLoad.observe(observation.loadPerSlot)
        if (observation.full) fullTargetSends.labelValues("full").inc()
        if (observation.uneven) fullTargetSends.labelValues("uneven").inc()
    }

    /** Bytes of a worker belonged to no response that was awaited. */
    fun onStrayBytes(kind: StrayKind) = strayBytes.labelValues(kind.name.lowercase()).inc()

    /** A caller's connection was closed with bytes unsent or requests unanswered. */
    fun onConnectionCut(reason: CloseReason) = cutConnections.labelValues(reason.name.lowercase()).inc()

    /** Registers a gauge; [value] is called at each scrape. */
    fun gauge(
        name: String,
        help: String,
        value: () -> Number,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }

    /** Registers gauges with the evidence against each of [parts], which are read at each scrape. */
    fun quarantinedParts(
        clock: Clock,
        parts: () -> List<QuarantinedPart>,
    ) {
        val byPart = { name: String, help: String, value: (QuarantinedPart) -> Number ->
            GaugeWithCallback
                .builder()
                .name("auburnhall_quarantined_part_$name")
                .help(help)
                .labelNames("part")
                .callback { gauge -> parts().forEach { gauge.call(value(it).toDouble(), it.part.id) } }
                .register(registry)
        }
        byPart("crashes", "Targets that crashed before the prompt part was quarantined.") { it.crashes }
        byPart("age_seconds", "Time since the first crash.") { (clock.nowMs() - it.sinceMs) / MS_PER_SECOND }
        byPart("refusals", "Requests that this process has refused because of the part.") { it.refusals }
    }

    /** All metrics in the text format. */
    fun scrape(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toByteArray()
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
        const val FIRST_BUCKET_S = 0.01
        const val BUCKET_FACTOR = 2.0
        const val BUCKET_COUNT = 11

        /** Width of the buckets in requests per slot, and their number. */
        const val LOAD_BUCKET = 0.125
        const val LOAD_BUCKETS = 16
    }
}
