/*
 * Prints results for people or for programs.
 */
package auburnhall.ctl

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import java.io.PrintStream

/** Prints to [out], and what went wrong to [err]. */
internal class Printer(
    private val out: PrintStream,
    private val err: PrintStream,
    private val asJson: Boolean,
) {
    private val pretty =
        Json {
            prettyPrint = true
            encodeDefaults = true
        }

    /** Prints [value] as JSON, or as what [text] makes of it. */
    fun <T> print(
        serializer: KSerializer<T>,
        value: T,
        text: (T) -> String,
    ) = out.println(if (asJson) pretty.encodeToString(serializer, value) else text(value))

    /** Prints what [result] is worth, and returns how the command ended. */
    fun <T> finish(
        result: ReplyResult<T>,
        onSuccess: (T) -> ExitCode,
    ): ExitCode =
        when (result) {
            is ReplyResult.Success -> onSuccess(result.value)
            is ReplyResult.Refused -> refused(result)
            is ReplyResult.Unreachable -> fail(ExitCode.UNREACHABLE, "no entry process answered: ${result.message}")
        }

    /** Prints [message] as an error and returns [code]. */
    fun fail(
        code: ExitCode,
        message: String,
    ): ExitCode {
        err.println("auburnhallctl: $message")
        return code
    }

    private fun refused(result: ReplyResult.Refused): ExitCode {
        val isStore = result.status == SERVICE_UNAVAILABLE
        return fail(if (isStore) ExitCode.UNREACHABLE else ExitCode.REFUSED, result.message)
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
    }
}
