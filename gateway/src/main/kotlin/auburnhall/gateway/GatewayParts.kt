/*
 * What the gateway is made of: the interfaces it calls, its settings, and the state of the process it runs in.
 */
package auburnhall.gateway

import auburnhall.config.ConfigSource
import auburnhall.core.Clock
import auburnhall.core.DataCentreId
import auburnhall.core.FleetView
import auburnhall.core.ProcessId
import auburnhall.engine.EngineClient
import auburnhall.explain.ExplanationLog
import auburnhall.ledger.Ledger
import auburnhall.limits.Admission
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.random.Random

/** Where the entry process is in its life, as far as callers are concerned. */
enum class GatewayState {
    /** It waits for what it needs; requests are refused where that is missing. */
    STARTING,

    /** Requests are served. */
    SERVING,

    /** Requests are served, while the readiness check already fails. */
    LEAVING,

    /** New requests are refused; those in progress go on. */
    CLOSED,
}

/**
 * Sizes and times that bound every request.
 *
 * @property bodyBytes largest request body.
 * @property headerBytes largest sum of header names and values.
 * @property bodyMillis time from arrival within which the whole request must have come.
 * @property silenceMillis longest time without a token after which a replica counts as failed.
 * @property overtimeMillis how long an answer that is still coming may go on after its deadline.
 * @property attempts most replicas or service instances tried for one request; at least 1.
 * @property queuedMillis time in the queue from which a request counts as delayed.
 * @property defaultMaxTokens tokens reckoned with when the caller names no limit.
 */
data class GatewaySettings(
    val bodyBytes: Int = BODY_BYTES,
    val headerBytes: Int = HEADER_BYTES,
    val bodyMillis: Long = 10_000,
    val silenceMillis: Long = 3_000,
    val overtimeMillis: Long = 60_000,
    val attempts: Int = 4,
    val queuedMillis: Long = 100,
    val defaultMaxTokens: Int = 1_024,
) {
    private companion object {
        const val BODY_BYTES = 4 * 1024 * 1024
        const val HEADER_BYTES = 12 * 1024
    }
}

/**
 * Everything the gateway calls.
 *
 * @property fleet the latest view of replicas and service instances; must not block.
 * @property state the state of the process; must not block.
 * @property inProgress counts requests until the last byte of their answers has been handed over.
 * @property random source of request ids.
 */
data class GatewayParts(
    val self: ProcessId,
    val dataCentre: DataCentreId,
    val clock: Clock,
    val config: ConfigSource,
    val admission: Admission,
    val engines: EngineClient,
    val services: ServiceClient,
    val ledger: Ledger,
    val explanations: ExplanationLog,
    val fleet: () -> FleetView,
    val state: () -> GatewayState = { GatewayState.SERVING },
    val listener: GatewayListener = GatewayListener.NONE,
    val metrics: PrometheusRegistry = PrometheusRegistry(),
    val inProgress: RequestsInProgress = RequestsInProgress(),
    val settings: GatewaySettings = GatewaySettings(),
    val random: Random = Random.Default,
)
