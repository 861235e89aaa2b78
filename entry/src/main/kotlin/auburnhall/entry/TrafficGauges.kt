/*
 * The gauges of the traffic thread's components. Their values are read on the metrics thread.
 */
package auburnhall.entry

import auburnhall.gateway.Gateway
import auburnhall.gateway.GatewayContext
import auburnhall.gateway.PassedOnRequests
import auburnhall.http.HttpClient
import auburnhall.http.HttpServer
import auburnhall.routing.ColdWorkers
import auburnhall.routing.WorkerLimits

/** Registers the gauges of the connections to [callers] and workers. */
internal fun EntryMetrics.connections(
    callers: HttpServer,
    workers: HttpClient,
) {
    gauge(
        "auburnhall_request_body_bytes",
        "Bytes of memory that the bodies of requests of callers and other processes take.",
    ) { callers.heldRequestBytes }
    gauge("auburnhall_worker_connections", "Open connections to workers.") { workers.openConnections }
    gauge(
        "auburnhall_worker_connects_total",
        "Connections to workers established since the start.",
    ) { workers.connects }
}

/** Registers the gauges of the requests of [gateway] and where they go. */
internal fun EntryMetrics.requests(
    context: GatewayContext,
    gateway: Gateway,
) {
    gauge(
        "auburnhall_evacuated_data_centres",
        "Data centres to whose workers nothing is sent.",
    ) { context.state.targets.evacuated.size }
    gauge(
        "auburnhall_requests_in_evacuated",
        "Requests of this process in progress in evacuated data centres.",
    ) { gateway.requestsInEvacuated }
    gauge("auburnhall_queued_requests", "Requests waiting in the admission queue.") { gateway.queuedRequests }
}

/** Registers the gauges of requests that processes pass on to each other; [taken] are those of others. */
internal fun EntryMetrics.passedOnRequests(
    context: GatewayContext,
    taken: PassedOnRequests,
) {
    gauge("auburnhall_isolated", "1 while this process reaches no worker, 0 otherwise.") {
        if (context.reachability.isolated) 1 else 0
    }
    gauge(
        "auburnhall_requests_passed_on_total",
        "Requests sent to other processes since the start, each counted once for each of them.",
    ) { context.helpers.sends }
    gauge(
        "auburnhall_requests_taken_over_total",
        "Requests that other processes have passed on to this one since the start.",
    ) { taken.taken }
}

/** Registers the gauges of workers that take fewer requests than others. */
internal fun EntryMetrics.restrictedWorkers(
    limits: WorkerLimits,
    cold: ColdWorkers,
) {
    gauge("auburnhall_limited_workers", "Workers that name a limit for requests.") { limits.count }
    gauge("auburnhall_cold_workers", "Workers that are cold.") { cold.count }
}
