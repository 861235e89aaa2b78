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

    private companion object {
        const val DEFAULT_METRICS_PORT = 9_464
    }
}
