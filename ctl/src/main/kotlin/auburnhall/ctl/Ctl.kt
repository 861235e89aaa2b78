/*
 * Reads the command line and runs the command it names.
 */
package auburnhall.ctl

import auburnhall.http.HttpCaller
import java.io.PrintStream

/** The command line, apart from the process around it. */
internal class Ctl(
    private val caller: HttpCaller,
    private val environment: Map<String, String>,
    private val out: PrintStream,
    private val err: PrintStream,
) {
    /** Runs the command that [args] name. */
    fun run(args: List<String>): ExitCode {
        val options = CtlOptions(environment)
        val problem = options.read(args)
        return when {
            problem != null -> usageError(problem)
            options.help -> ExitCode.DONE.also { out.print(options.usage()) }
            else -> run(options)
        }
    }

    private fun run(options: CtlOptions): ExitCode {
        val entries =
            options.entry
                .split(',')
                .map { it.trim() }
                .filter { it.isNotEmpty() }
        val client = OperatorClient(caller, entries, options.operatorKey)
        val printer = Printer(out, err, options.output == "json")
        val lists = ListCommands(client, printer)
        val fleet = FleetCommands(client, printer)
        val isLocal = options.command == "validate"
        return when {
            !isLocal && entries.isEmpty() -> usageError("--entry is missing")
            options.command in WITH_ARGUMENT && options.argument == null ->
                usageError(
                    "${options.command} needs an argument",
                )
            else -> run(options, lists, fleet)
        }
    }

    private fun run(
        options: CtlOptions,
        lists: ListCommands,
        fleet: FleetCommands,
    ): ExitCode {
        val argument = options.argument.orEmpty()
        return when (options.command) {
            "show" -> lists.show(options.save)
            "validate" -> lists.validate(argument)
            "diff" -> lists.diff(argument)
            "apply" -> lists.apply(argument, options)
            "audit" -> lists.audit()
            "drain" -> fleet.drain(argument, stop = false)
            "stop" -> fleet.drain(argument, stop = true)
            "undrain" -> fleet.undrain(argument)
            "status" -> fleet.status()
            "explain" -> fleet.explain(argument)
            else -> usageError("there is no command '${options.command}'; see --help")
        }
    }

    private fun usageError(message: String): ExitCode {
        err.println("auburnhallctl: $message")
        return ExitCode.USAGE
    }

    private companion object {
        val WITH_ARGUMENT = setOf("validate", "diff", "apply", "drain", "stop", "undrain", "explain")
    }
}
