/*
 * Flags and arguments of the command line.
 */
package auburnhall.ctl

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import org.kohsuke.args4j.ParserProperties
import java.io.StringWriter

/** Name of the variable that replaces `--entry`. */
internal const val ENTRY_VARIABLE = "AUBURNHALL_ENTRY"

/** Name of the variable that replaces `--operator-key`. */
internal const val KEY_VARIABLE = "AUBURNHALL_OPERATOR_KEY"

/** What was given on the command line. */
internal class CtlOptions(
    environment: Map<String, String>,
) {
    @Option(
        name = "--entry",
        metaVar = "IP:PORT[,IP:PORT...]",
        usage = "entry processes to try in turn [$ENTRY_VARIABLE]",
    )
    var entry: String = environment[ENTRY_VARIABLE].orEmpty()

    @Option(name = "--operator-key", metaVar = "KEY", usage = "the operator's API key [$KEY_VARIABLE]")
    var operatorKey: String = environment[KEY_VARIABLE].orEmpty()

    @Option(name = "--output", metaVar = "table|json", usage = "for people or for programs (default: table)")
    var output: String = "table"

    @Option(name = "--save", metaVar = "DIRECTORY", usage = "show: write the lists and their version to files")
    var save: String? = null

    @Option(
        name = "--expect",
        metaVar = "VERSION",
        usage = "apply: version the edit was made from (default: base-version file)",
    )
    var expect: Long? = null

    @Option(name = "--note", metaVar = "TEXT", usage = "apply: reason of the change, kept in the audit trail")
    var note: String = ""

    @Option(name = "--change-id", metaVar = "ID", usage = "apply: id of a change to ask for again (default: a new one)")
    var changeId: String? = null

    @Option(name = "--help", usage = "print this text")
    var help: Boolean = false

    @Argument(index = 0, metaVar = "COMMAND")
    var command: String = ""

    @Argument(index = 1, metaVar = "ARGUMENT")
    var argument: String? = null

    /** Reads [args]; returns what is wrong with them, null when nothing is. */
    fun read(args: List<String>): String? =
        try {
            parser().parseArgument(args)
            problem()
        } catch (e: CmdLineException) {
            e.message
        }

    /** The text of `--help`. */
    fun usage(): String {
        val flags = StringWriter().also { parser().printUsage(it, null) }
        val codes = ExitCode.entries.joinToString("\n") { " ${it.number}  ${it.meaning}" }
        return "$COMMANDS\n\nFlags:\n$flags\nExit codes:\n$codes\n"
    }

    private fun problem(): String? =
        when {
            help -> null
            command.isEmpty() -> "no command given; see --help"
            output != "table" && output != "json" -> "--output must be table or json, not '$output'"
            else -> null
        }

    private fun parser() = CmdLineParser(this, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH))

    private companion object {
        const val USAGE_WIDTH = 120
        const val COMMANDS =
            """auburnhallctl COMMAND [ARGUMENT] [FLAGS]

Commands:
 show                  the lists as stored
 validate DIRECTORY    check customers.json and usage.json
 diff DIRECTORY        what the files would change
 apply DIRECTORY       store the files, if nobody changed the lists since the version they were made from
 drain INSTANCE        give an instance no new work
 stop INSTANCE         drain an instance and stop it once idle
 undrain INSTANCE      take drain or stop back
 status                replicas, instances, group downtime, stranded accelerators
 explain REQUEST       why a request was refused or late
 audit                 who changed what, when"""
    }
}
