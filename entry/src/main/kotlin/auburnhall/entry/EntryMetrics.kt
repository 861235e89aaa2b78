/*
 * The metrics of the entry process, served in the Prometheus text format. Designed for processes that start on a part
 * of a core while callers wait: the library is not loaded before [EntryMetrics.prepare], and what is counted until then
 * is kept.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.gateway.GatewayMetrics
import auburnhall.http.CloseReason
import auburnhall.http.StrayKind
import auburnhall.replica.ModelStatus
import auburnhall.routing.QuarantinedPart
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.util.concurrent.ConcurrentLinkedQueue

/** Metrics; those recorded before [prepare] are added by it. May be used on any thread. */
class EntryMetrics : GatewayMetrics {
    private val pending = ConcurrentLinkedQueue<(MetricSeries) -> Unit>()

    @Volatile
    private var series: MetricSeries? = null

    /** Loads the library and adds what was recorded so far; further calls change nothing. */
    @Synchronized
    fun prepare(): MetricSeries {
        val ready = series ?: MetricSeries().also { series = it }
        addPending(ready)
        return ready
    }

    /** Applies [action] to the series, at once or when they are prepared. */
    internal fun record(action: (MetricSeries) -> Unit) {
        series?.let { return action(it) }
        pending.add(action)
        series?.let(::addPending)
    }

    private fun addPending(ready: MetricSeries) {
        while (true) (pending.poll() ?: return)(ready)
    }

    override fun onRequestEnded(
        kind: String,
        outcome: String,
        tookMs: Long,
    ) = record {
        it.answers.labelValues(kind, outcome).inc()
        it.latency.labelValues(kind, outcome).observe(tookMs / MS_PER_SECOND)
    }

    override fun onRetry(reason: String) = record { it.retries.labelValues(reason).inc() }

    /** Bytes of a worker belonged to no response that was awaited. */
    fun onStrayBytes(kind: StrayKind) = record { it.strayBytes.labelValues(kind.name.lowercase()).inc() }

    /** A caller's connection was closed with bytes unsent or requests unanswered. */
    fun onConnectionCut(reason: CloseReason) = record { it.cutConnections.labelValues(reason.name.lowercase()).inc() }

    /** A call to the store is made. */
    fun onStoreCall(kind: StoreCallKind) = record { it.storeCalls.labelValues(kind.label).inc() }

    /** All metrics in the text format. */
    fun scrape(): ByteArray {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, prepare().registry.scrape())
        return out.toByteArray()
    }
}

/** Registers a gauge; [value] is called at each scrape. */
fun EntryMetrics.gauge(
    name: String,
    help: String,
    value: () -> Number,
) = record { it.gauge(name, help, value) }

/** Registers gauges with the evidence against each of [parts], which are read at each scrape. */
fun EntryMetrics.quarantinedParts(
    clock: Clock,
    parts: () -> List<QuarantinedPart>,
) = record { it.quarantinedParts(clock, parts) }

/** Registers gauges with the replicas of each model by data centre, which are read at each scrape. */
fun EntryMetrics.models(status: () -> List<ModelStatus>) = record { it.models(status) }

/** The metrics as the library keeps them. */
class MetricSeries internal constructor() {
    val registry = PrometheusRegistry()
    val answers =
        Counter
            .builder()
            .name("auburnhall_answers_total")
            .help("Requests by kind and outcome.")
            .labelNames("kind", "outcome")
            .register(registry)
    val retries =
        Counter
            .builder()
            .name("auburnhall_retries_total")
            .help("Retries of requests, by reason.")
            .labelNames("reason")
            .register(registry)
    val strayBytes =
        Counter
            .builder()
            .name("auburnhall_worker_stray_bytes_total")
            .help("Times at which bytes of workers belonged to no response that was awaited, by kind.")
            .labelNames("kind")
            .register(registry)
    val cutConnections =
        Counter
            .builder()
            .name("auburnhall_caller_connections_cut_total")
            .help("Connections of callers closed with bytes unsent or requests unanswered, by reason.")
            .labelNames("reason")
            .register(registry)
    val storeCalls =
        Counter
            .builder()
            .name("auburnhall_store_calls_total")
            .help("Calls to the store, by kind.")
            .labelNames("kind")
            .register(registry)
    val latency =
        Histogram
            .builder()
            .name("auburnhall_answer_seconds")
            .help("Time from receipt of the complete request to the end of the response, by kind and outcome.")
            .labelNames("kind", "outcome")
            .classicOnly()
            .classicExponentialUpperBounds(FIRST_BUCKET_S, BUCKET_FACTOR, BUCKET_COUNT)
            .register(registry)

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

    /** Registers gauges with the replicas of each model by data centre, which are read at each scrape. */
    fun models(status: () -> List<ModelStatus>) {
        val byModel = { name: String, help: String, value: (ModelStatus) -> Number ->
            GaugeWithCallback
                .builder()
                .name("auburnhall_$name")
                .help(help)
                .labelNames("data_centre", "model")
                .callback { gauge -> status().forEach { gauge.call(value(it).toDouble(), it.dataCentre, it.model) } }
                .register(registry)
        }
        byModel("replicas_open", "Replicas that are open or being formed; only at the controller.") { it.open }
        byModel("replicas_planned", "Replicas that are planned; only at the controller.") { it.planned }
        byModel("model_coverage", "Replicas relative to those needed; only at the controller.") { it.coverage }
    }

    private companion object {
        const val FIRST_BUCKET_S = 0.01
        const val BUCKET_FACTOR = 2.0
        const val BUCKET_COUNT = 11
    }
}

private const val MS_PER_SECOND = 1_000.0
