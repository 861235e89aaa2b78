/*
 * Command line of the engine stand-in.
 */
package auburnhall.standin.engine

import org.kohsuke.args4j.Option

/** What one stand-in instance is and how fast it works. */
class EngineOptions {
    @Option(name = "--instance", required = true, usage = "name of the instance")
    var instance = ""

    @Option(name = "--host", usage = "IP address to listen at")
    var host = "127.0.0.1"

    @Option(name = "--port", usage = "port to listen at; 0 for any")
    var port = 0

    @Option(name = "--data-centre", required = true, usage = "data centre of the instance")
    var dataCentre = ""

    @Option(name = "--fabric-domain", required = true, usage = "fabric domain of the instance")
    var fabricDomain = ""

    @Option(name = "--platform", required = true, usage = "ip:port of the platform's HTTP service")
    var platform = ""

    @Option(name = "--accelerators", usage = "accelerators of the instance")
    var accelerators = 1

    @Option(name = "--ignores-fencing", usage = "carry out orders with an old generation")
    var ignoresFencing = false

    @Option(name = "--capacity", usage = "requests that a replica led by this instance runs at once")
    var capacity = CAPACITY

    @Option(name = "--token-millis", usage = "milliseconds between two tokens of one answer")
    var tokenMillis = TOKEN_MILLIS

    @Option(name = "--prefill-millis", usage = "milliseconds before the first token of a prompt that is not cached")
    var prefillMillis = PREFILL_MILLIS

    @Option(name = "--report-lag-millis", usage = "age of the load figures in the status")
    var reportLagMillis = REPORT_LAG_MILLIS

    @Option(name = "--weight-bytes", usage = "bytes to load from the weight store for one replica member")
    var weightBytes = WEIGHT_BYTES

    @Option(name = "--cached-prefixes", usage = "prompt prefixes that fit into the cache")
    var cachedPrefixes = CACHED_PREFIXES

    private companion object {
        const val CAPACITY = 8
        const val TOKEN_MILLIS = 20L
        const val PREFILL_MILLIS = 20L
        const val REPORT_LAG_MILLIS = 500L
        const val WEIGHT_BYTES = 100_000L
        const val CACHED_PREFIXES = 256
    }
}
