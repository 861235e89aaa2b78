/*
 * JSON bodies of answers.
 */
package auburnhall.config.api

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status

private val json = Json { encodeDefaults = true }

internal fun error(
    status: Status,
    message: String,
) = reply(status, ErrorReply.serializer(), ErrorReply(message))

internal fun <T> reply(
    status: Status,
    serializer: KSerializer<T>,
    body: T,
): Response = Response(status).header("Content-Type", "application/json").body(json.encodeToString(serializer, body))
