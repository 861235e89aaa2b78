/*
 * Checked settings of the entry process.
 */
package auburnhall.entry

import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.io.StringWriter

/** An operator and the SHA-256 digest (lower-case hexadecimal) of its key. */
data class Operator(
    val name: String,
    val keyDigest: String,
)

/** Where the process listens. Port 0 takes any. */
data class ListenSettings(
    val address: String,
    val port: Int,
    val peerPort: Int,
)

/** What one caller may take of the process. */
data class CallerLimits(
    val maxBodyBytes: Int,
    val maxHeaderBytes: Int,
    val threads: Int,
    val idleSeconds: Int,
)

/** How long a planned stop may take. */
data class StopSettings(
    val balancerSeconds: Int,
    val drainSeconds: Int,
)

/** Settings of one entry process. */
data class EntrySettings(
    val listen: ListenSettings,
    val instance: InstanceId,
    val dataCentre: DataCentreId,
    val store: String,
    val platform: String,
    val operators: List<Operator>,
    val callers: CallerLimits,
    val stop: StopSettings,
    val logLevel: String,
)

/** Why the process cannot start with the settings given. */
sealed interface SettingsProblem {
    /** A flag or variable is missing or wrong; [message] names it. */
    data class Invalid(
        val message: String,
    ) : SettingsProblem

    /** Help was asked for; [text] is it. */
    data class Help(
        val text: String,
    ) : SettingsProblem
}

/** Reads settings from [args] and, where a flag is missing, from [environment]. */
fun parseSettings(
    args: List<String>,
    environment: Map<String, String>,
): Result<EntrySettings, SettingsProblem> {
    val options = EntryOptions()
    val parser = CmdLineParser(options)
    return try {
        parser.parseArgument(fromEnvironment(parser, environment) + args)
        if (options.help) Err(SettingsProblem.Help(helpText(parser))) else check(options)
    } catch (e: CmdLineException) {
        Err(SettingsProblem.Invalid(e.message.orEmpty()))
    }
}

private fun fromEnvironment(
    parser: CmdLineParser,
    environment: Map<String, String>,
): List<String> =
    parser.options
        .map { it.option.toString() }
        .filter { it != "--help" }
        .mapNotNull { flag -> environment[variable(flag)]?.let { listOf(flag, it) } }
        .flatten()

private fun helpText(parser: CmdLineParser): String {
    val text = StringWriter()
    text.write("auburnhall: serves callers in front of model engines and plain services\n\n")
    text.write("Each flag may be given as an environment variable instead, such as ${variable("--data-centre")}.\n\n")
    parser.printUsage(text, null)
    return text.toString()
}

private fun check(o: EntryOptions): Result<EntrySettings, SettingsProblem> =
    binding {
        EntrySettings(
            listen =
                ListenSettings(
                    address = required("--address", o.address).bind(),
                    port = number("--port", o.port, 0..MAX_PORT).bind(),
                    peerPort = number("--peer-port", o.peerPort, 0..MAX_PORT).bind(),
                ),
            instance = InstanceId(required("--instance", o.instance).bind()),
            dataCentre = DataCentreId(required("--data-centre", o.dataCentre).bind()),
            store = address("--store", o.store).bind(),
            platform = address("--platform", o.platform).bind(),
            operators = operators(o.operators).bind(),
            callers =
                CallerLimits(
                    maxBodyBytes = number("--max-body-bytes", o.maxBodyBytes, MIN_BODY..MAX_BODY).bind(),
                    maxHeaderBytes = number("--max-header-bytes", o.maxHeaderBytes, MIN_HEADER..MAX_HEADER).bind(),
                    threads = number("--threads", o.threads, MIN_THREADS..MAX_THREADS).bind(),
                    idleSeconds = number("--idle-seconds", o.idleSeconds, 1..MAX_SECONDS).bind(),
                ),
            stop =
                StopSettings(
                    balancerSeconds = number("--balancer-seconds", o.balancerSeconds, 0..MAX_SECONDS).bind(),
                    drainSeconds = number("--drain-seconds", o.drainSeconds, 0..MAX_SECONDS).bind(),
                ),
            logLevel = oneOf("--log-level", o.logLevel, LOG_LEVELS).bind(),
        )
    }

private val LOG_LEVELS = listOf("trace", "debug", "info", "warn", "error")
private const val MIN_BODY = 1_024
private const val MAX_BODY = 64 * 1024 * 1024
private const val MIN_HEADER = 1_024
private const val MAX_HEADER = 1024 * 1024
private const val MIN_THREADS = 16
private const val MAX_THREADS = 10_000
private const val MAX_SECONDS = 86_400
