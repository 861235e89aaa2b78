/*
 * Shows and changes the drain list over HTTP.
 */
package auburnhall.config.api

import auburnhall.config.DrainResult
import auburnhall.config.OperatorRead
import auburnhall.config.OperatorService
import auburnhall.core.InstanceId
import kotlinx.serialization.json.Json
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

internal fun drains(service: OperatorService): Response =
    when (val read = service.drains()) {
        is OperatorRead.Error -> error(Status.SERVICE_UNAVAILABLE, read.message)
        is OperatorRead.Success -> reply(Status.OK, DrainsReply.serializer(), DrainsReply(read.value))
    }

internal fun drain(
    service: OperatorService,
    request: Request,
    operator: String,
): Response {
    val body = Json.decodeFromString(DrainBody.serializer(), request.bodyString())
    return answer(service.drain(body.instance, body.stop, operator))
}

internal fun cancelDrain(
    service: OperatorService,
    request: Request,
): Response {
    val instance = request.query("instance")
    return if (instance.isNullOrEmpty()) {
        error(Status.BAD_REQUEST, "the query parameter instance is missing")
    } else {
        answer(service.cancelDrain(InstanceId(instance)))
    }
}

private fun answer(result: DrainResult): Response =
    when (result) {
        is DrainResult.Success -> reply(Status.OK, DrainsReply.serializer(), DrainsReply(result.drains))
        is DrainResult.Error -> error(Status.SERVICE_UNAVAILABLE, result.message)
    }
