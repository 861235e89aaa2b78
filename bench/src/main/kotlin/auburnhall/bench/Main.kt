/*
 * Runs measurements by name: `routing`, `limits`, `admission`, `retries`, …, or `all`.
 */
package auburnhall.bench

import auburnhall.bench.admission.AdmissionBench
import auburnhall.bench.limits.LimitsBench
import auburnhall.bench.retries.RetriesBench
import auburnhall.bench.routing.RoutingBench
import kotlin.system.exitProcess

private val measurements: Map<String, (Appendable) -> Unit> =
    linkedMapOf(
        "routing" to RoutingBench::run,
        "limits" to LimitsBench::run,
        "admission" to AdmissionBench::run,
        "retries" to RetriesBench::run,
    )

/** Runs the measurements named in [args], in that order. */
fun main(args: Array<String>) {
    val names = if (args.contentEquals(arrayOf("all"))) measurements.keys.toList() else args.toList()
    if (names.isEmpty() || !measurements.keys.containsAll(names)) {
        System.err.println("usage: bench (all | ${measurements.keys.joinToString(" | ")})…")
        exitProcess(2)
    }
    names.forEach { name ->
        println("## $name")
        println()
        measurements.getValue(name)(System.out)
    }
}
