/*
 * Entry point of the stand-ins: `standin platform|engine|service OPTIONS`.
 */
package auburnhall.standin

import auburnhall.standin.engine.EngineCommand
import auburnhall.standin.platform.PlatformCommand
import auburnhall.standin.service.ServiceCommand
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

private const val BAD_USAGE = 2

/** Runs the stand-in named by the first argument. */
fun main(args: Array<String>) {
    val command =
        when (args.firstOrNull()) {
            "platform" -> platform()
            "engine" -> EngineCommand()
            "service" -> ServiceCommand()
            else -> fail("usage: standin platform|engine|service OPTIONS")
        }
    try {
        CmdLineParser(command.options).parseArgument(args.drop(1))
    } catch (e: CmdLineException) {
        fail(e.message.orEmpty())
    }
    command.run()
}

private fun platform(): StandinCommand {
    val command = PlatformCommand()
    return object : StandinCommand {
        override val options = command

        override fun run() = command.run()
    }
}

private fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(BAD_USAGE)
}
