/*
 * What this process does while it reaches no worker: requests leave the connections that are dead, and connections are
 * tried until one is made. The connection that is made then serves the next request.
 */
package auburnhall.gateway

/** Acts when [GatewayContext.reachability] changes. Traffic thread only. */
internal class Isolation(
    private val context: GatewayContext,
    private val inFlight: InFlightRequests,
    private val onIsolated: (Boolean) -> Unit,
) {
    private var probing = false

    init {
        context.reachability.onSilence = ::connectToAny
        context.reachability.onChange = { context.scheduler.run(::onChange) }
    }

    private fun onChange() {
        onIsolated(context.reachability.isolated)
        if (context.reachability.isolated) {
            context.client.closeIdleConnections(null)
            inFlight.requests.forEach { it.passing.leaveUnreachable() }
            if (!probing) probe()
        }
        inFlight.queue.dispatchAll()
    }

    private fun probe() {
        probing = context.reachability.isolated
        if (!probing) return
        connectToAny()
        context.scheduler.after(PROBE_PERIOD_MS, ::probe)
    }

    private fun connectToAny() {
        val target =
            context.state.targets.targets
                .randomOrNull() ?: return
        context.client.preconnect(target.worker.address, PROBE_TIMEOUT_MS)
    }

    private companion object {
        const val PROBE_TIMEOUT_MS = 400

        /** A lost link is noticed to be back after this time; each try costs a worker a connection. */
        const val PROBE_PERIOD_MS = 500L
    }
}
