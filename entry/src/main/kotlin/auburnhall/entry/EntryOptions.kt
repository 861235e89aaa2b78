/*
 * Flags of the entry process as args4j sees them. Each may also be given as an environment variable: AUBURNHALL_ and
 * the name of the flag in capitals with underscores. A flag goes before its variable.
 */
package auburnhall.entry

import org.kohsuke.args4j.Option

/** Unchecked settings; [EntrySettings] holds the checked ones. */
internal class EntryOptions {
    @Option(name = "--address", metaVar = "IP", usage = "IP address to listen at and to tell to other entry processes")
    var address = "127.0.0.1"

    @Option(name = "--port", metaVar = "PORT", usage = "TCP port for callers and operators; 0 for any")
    var port = "8080"

    @Option(name = "--peer-port", metaVar = "PORT", usage = "TCP port for other entry processes; 0 for any")
    var peerPort = "8081"

    @Option(
        name = "--instance",
        metaVar = "NAME",
        usage = "name of the platform instance this process runs on (required)",
    )
    var instance = ""

    @Option(name = "--data-centre", metaVar = "NAME", usage = "data centre this process runs in (required)")
    var dataCentre = ""

    @Option(name = "--store", metaVar = "IP:PORT", usage = "address of the platform's key-value service (required)")
    var store = ""

    @Option(name = "--platform", metaVar = "IP:PORT", usage = "address of the platform's list of instances (required)")
    var platform = ""

    @Option(
        name = "--operators",
        metaVar = "NAME=SHA256,...",
        usage = "operators and the SHA-256 digests of their keys, in hexadecimal",
    )
    var operators = ""

    @Option(name = "--max-body-bytes", metaVar = "BYTES", usage = "largest request body")
    var maxBodyBytes = "1048576"

    @Option(name = "--max-header-bytes", metaVar = "BYTES", usage = "largest request head")
    var maxHeaderBytes = "16384"

    @Option(name = "--threads", metaVar = "COUNT", usage = "most requests served at once")
    var threads = "600"

    @Option(
        name = "--idle-seconds",
        metaVar = "SECONDS",
        usage = "close a caller's connection after so long without a byte",
    )
    var idleSeconds = "30"

    @Option(
        name = "--balancer-seconds",
        metaVar = "SECONDS",
        usage = "on a stop, go on accepting so long after readiness fails, until the balancer has noticed",
    )
    var balancerSeconds = "5"

    @Option(
        name = "--drain-seconds",
        metaVar = "SECONDS",
        usage = "on a stop, wait so long for requests in progress",
    )
    var drainSeconds = "600"

    @Option(name = "--log-level", metaVar = "LEVEL", usage = "trace, debug, info, warn or error")
    var logLevel = "info"

    @Option(name = "--help", help = true, usage = "print this text and exit")
    var help = false
}
