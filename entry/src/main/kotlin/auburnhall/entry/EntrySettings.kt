/*
 * Checked settings of the entry process.
 */
package auburnhall.entry

import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
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

private fun variable(flag: String) = "AUBURNHALL_" + flag.removePrefix("--").replace('-', '_').uppercase()

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

private fun invalid(message: String) = Err(SettingsProblem.Invalid(message))

private fun required(
    flag: String,
    value: String,
): Result<String, SettingsProblem> =
    if (value.isBlank()) invalid("$flag (or ${variable(flag)}) is required") else Ok(value)

private fun number(
    flag: String,
    value: String,
    range: IntRange,
): Result<Int, SettingsProblem> {
    val n = value.toIntOrNull()
    return if (n == null || n !in range) {
        invalid("$flag must be a whole number from ${range.first} to ${range.last}, not '$value'")
    } else {
        Ok(n)
    }
}

private fun address(
    flag: String,
    value: String,
): Result<String, SettingsProblem> {
    val port = value.substringAfterLast(':', "").toIntOrNull()
    val host = value.substringBeforeLast(':', "")
    return when {
        value.isBlank() -> invalid("$flag (or ${variable(flag)}) is required")
        port == null || port !in 1..MAX_PORT || host.isEmpty() -> invalid("$flag must be IP:PORT, not '$value'")
        else -> Ok(value)
    }
}

private fun oneOf(
    flag: String,
    value: String,
    choices: List<String>,
): Result<String, SettingsProblem> =
    if (value in choices) Ok(value) else invalid("$flag must be one of ${choices.joinToString()}, not '$value'")

private fun operators(value: String): Result<List<Operator>, SettingsProblem> {
    val entries = value.split(',').filter { it.isNotBlank() }
    val wrong = entries.firstOrNull { !OPERATOR.matches(it.trim()) }
    return if (wrong != null) {
        invalid("--operators must list NAME=SHA256 with 64 hexadecimal digits, not '$wrong'")
    } else {
        Ok(entries.map { Operator(it.substringBefore('=').trim(), it.substringAfter('=').trim()) })
    }
}

private val OPERATOR = Regex("[A-Za-z0-9._-]+=[0-9a-f]{64}")
private val LOG_LEVELS = listOf("trace", "debug", "info", "warn", "error")
private const val MAX_PORT = 65_535
private const val MIN_BODY = 1_024
private const val MAX_BODY = 64 * 1024 * 1024
private const val MIN_HEADER = 1_024
private const val MAX_HEADER = 1024 * 1024
private const val MIN_THREADS = 16
private const val MAX_THREADS = 10_000
private const val MAX_SECONDS = 86_400
