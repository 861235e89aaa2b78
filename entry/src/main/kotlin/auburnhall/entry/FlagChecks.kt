/*
 * Checks of single flags. Each problem names the flag, and the variable that may stand in for it.
 */
package auburnhall.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Largest TCP port. */
internal const val MAX_PORT = 65_535

private val OPERATOR = Regex("[A-Za-z0-9._-]+=[0-9a-f]{64}")

/** The environment variable that stands in for [flag]. */
internal fun variable(flag: String) = "AUBURNHALL_" + flag.removePrefix("--").replace('-', '_').uppercase()

internal fun invalid(message: String) = Err(SettingsProblem.Invalid(message))

internal fun required(
    flag: String,
    value: String,
): Result<String, SettingsProblem> =
    if (value.isBlank()) invalid("$flag (or ${variable(flag)}) is required") else Ok(value)

internal fun number(
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

internal fun address(
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

internal fun oneOf(
    flag: String,
    value: String,
    choices: List<String>,
): Result<String, SettingsProblem> =
    if (value in choices) Ok(value) else invalid("$flag must be one of ${choices.joinToString()}, not '$value'")

internal fun operators(value: String): Result<List<Operator>, SettingsProblem> {
    val entries = value.split(',').filter { it.isNotBlank() }
    val wrong = entries.firstOrNull { !OPERATOR.matches(it.trim()) }
    return if (wrong != null) {
        invalid("--operators must list NAME=SHA256 with 64 hexadecimal digits, not '$wrong'")
    } else {
        Ok(entries.map { Operator(it.substringBefore('=').trim(), it.substringAfter('=').trim()) })
    }
}
