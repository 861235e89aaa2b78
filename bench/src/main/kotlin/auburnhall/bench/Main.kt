/*
 * Runs measurements by name: `routing`, `limits`, `admission`, `retries`, `ledger`, `placement`, or `all` of them; and
 * `latency`, which drives processes that scripts/bench-latency.sh has started.
 */
package auburnhall.bench

import auburnhall.bench.admission.AdmissionBench
import auburnhall.bench.latency.LatencyBench
import auburnhall.bench.latency.LatencyTargets
import auburnhall.bench.ledger.LedgerCost
import auburnhall.bench.limits.LimitsBench
import auburnhall.bench.placement.PlacementBench
import auburnhall.bench.retries.RetriesBench
import auburnhall.bench.routing.RoutingBench
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import kotlin.system.exitProcess

private const val BAD_USAGE = 2

private val measurements: Map<String, (Appendable) -> Unit> =
    linkedMapOf(
        "routing" to RoutingBench::run,
        "limits" to LimitsBench::run,
        "admission" to AdmissionBench::run,
        "retries" to RetriesBench::run,
        "ledger" to { LedgerCost().run(it) },
        "placement" to { PlacementBench().run(it) },
    )

/** Where the processes are that `latency` drives. */
private class LatencyOptions {
    @Option(name = "--entry", required = true, metaVar = "IP:PORT", usage = "the entry process")
    var entry = ""

    @Option(name = "--engine", required = true, metaVar = "IP:PORT", usage = "the engine, called directly")
    var engine = ""

    @Option(name = "--service", required = true, metaVar = "IP:PORT", usage = "the plain service, called directly")
    var service = ""

    @Option(name = "--key", required = true, metaVar = "KEY", usage = "the customer's API key")
    var key = ""
}

/** Runs the measurements named in [args], in that order. */
fun main(args: Array<String>) {
    if (args.firstOrNull() == "latency") return latency(args.drop(1))
    val names = if (args.contentEquals(arrayOf("all"))) measurements.keys.toList() else args.toList()
    if (names.isEmpty() || !measurements.keys.containsAll(names)) {
        fail("usage: bench (all | ${measurements.keys.joinToString(" | ")})… | latency --entry … (see the script)")
    }
    names.forEach { name ->
        println("## $name")
        println()
        measurements.getValue(name)(System.out)
    }
}

private fun latency(args: List<String>) {
    val options = LatencyOptions()
    try {
        CmdLineParser(options).parseArgument(args)
    } catch (e: CmdLineException) {
        fail(e.message.orEmpty())
    }
    LatencyBench(LatencyTargets(options.entry, options.engine, options.service, options.key)).run(System.out)
}

private fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(BAD_USAGE)
}
