/*
 * Runs the stand-in platform until the process is killed, or calls an entry process once.
 */
package auburnhall.standin

import auburnhall.core.Address
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import kotlin.system.exitProcess

private const val EXIT_FAILED = 1
private const val EXIT_USAGE = 2

internal class StandinOptions {
    @Option(
        name = "--call",
        metaVar = "HOST:PORT",
        usage = "call the entry process at this address with sample requests and exit",
    )
    var call: String? = null
}

/** Prints the ports of the store and of the control endpoint and waits, or with `--call` makes sample calls. */
fun main(args: Array<String>) {
    val entry = parse(args).call?.let { Address.parse(it) }
    if (entry != null) exitProcess(if (SampleCaller(entry).run()) 0 else EXIT_FAILED)
    val platform = StandinPlatform()
    println("store=${platform.storePort} control=${platform.controlPort}")
    Thread.currentThread().join()
}

private fun parse(args: Array<String>): StandinOptions {
    val options = StandinOptions()
    try {
        CmdLineParser(options).parseArgument(args.asList())
    } catch (e: CmdLineException) {
        System.err.println("auburnhall-standin: ${e.message}")
        exitProcess(EXIT_USAGE)
    }
    return options
}
