/*
 * Metrics of the control state and of calls to the platform's key-value service.
 */
package auburnhall.entry

import auburnhall.store.etcd.StoreListener
import auburnhall.store.etcd.StoreOperation
import auburnhall.store.etcd.StoreOutcome
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Registers its metrics with [registry]. */
internal class EntryMetrics(
    private val registry: PrometheusRegistry,
) : StoreListener {
    private val calls =
        Counter
            .builder()
            .name("auburnhall_store_calls")
            .help("Calls to the platform's key-value service")
            .labelNames("operation", "outcome")
            .register(registry)
    private val seconds =
        Histogram
            .builder()
            .name("auburnhall_store_call_seconds")
            .help("Time of calls to the platform's key-value service")
            .labelNames("operation")
            .register(registry)

    override fun onCall(
        operation: StoreOperation,
        outcome: StoreOutcome,
        millis: Long,
    ) {
        val name = operation.name.lowercase()
        calls.labelValues(name, outcome.name.lowercase()).inc()
        seconds.labelValues(name).observe(millis / MILLIS_PER_SECOND)
    }

    /** Exposes what [reporter] counts and [entryProcesses] that answer. */
    fun register(
        reporter: FleetReporter,
        entryProcesses: () -> Int,
    ) {
        CounterWithCallback
            .builder()
            .name("auburnhall_group_downtime_seconds")
            .help("Replica-seconds in which an assigned replica could not serve, as seen by this process")
            .labelNames("model")
            .callback { c -> reporter.downtime().forEach { c.call(it.seconds, it.model) } }
            .register(registry)
        gauge("auburnhall_stranded_accelerators", "Accelerators of live instances in no serving replica") {
            reporter.strandedAccelerators().toDouble()
        }
        gauge("auburnhall_entry_processes", "Entry processes that answer, this one included") {
            entryProcesses().toDouble()
        }
    }

    private fun gauge(
        name: String,
        help: String,
        value: () -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value()) }
            .register(registry)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
