/*
 * Command-line options of the entry process.
 */
package auburnhall.entry

import org.kohsuke.args4j.Option

internal class EntryOptions {
    @Option(name = "--metrics-port", metaVar = "PORT", usage = "port of the metrics endpoint, 1 to 65535")
    var metricsPort: Int = DEFAULT_METRICS_PORT

    @Option(
        name = "--relay-from",
        metaVar = "N",
        usage = "minimum number of processes, 2 or more, at which they relay the store's changes to each other",
    )
    var relayMinProcesses: Int = DEFAULT_RELAY_MIN_PROCESSES

    private companion object {
        const val DEFAULT_METRICS_PORT = 9_464

        /**
         * With fewer processes, direct watches cost the store little, and serving each other's watches would take more
         * CPU time than it saves.
         */
        const val DEFAULT_RELAY_MIN_PROCESSES = 33
    }
}
