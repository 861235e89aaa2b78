/*
 * The command line of the entry process.
 */
package auburnhall.entry

import org.kohsuke.args4j.Option

/** Flags of the entry process. */
internal class EntryOptions {
    @Option(name = "--metrics-port", metaVar = "PORT", usage = "port of the metrics page, 1 to 65535")
    var metricsPort: Int = DEFAULT_METRICS_PORT

    @Option(name = "--exit-after-ms", metaVar = "MS", usage = "end after this time; for the build's class archive")
    var exitAfterMs: Long = 0

    @Option(
        name = "--relay-from",
        metaVar = "N",
        usage = "number of processes, at least 2, from which on they take the store's changes from each other",
    )
    var relayFrom: Int = DEFAULT_RELAY_FROM

    private companion object {
        const val DEFAULT_METRICS_PORT = 9_464

        /** Fewer processes cost the store little, and answers to each other more processor time than they save. */
        const val DEFAULT_RELAY_FROM = 33
    }
}
