/*
 * Shows and changes the lists over HTTP.
 */
package auburnhall.config.api

import auburnhall.config.ApplyCommand
import auburnhall.config.ApplyResult
import auburnhall.config.OperatorRead
import auburnhall.config.OperatorService
import auburnhall.core.CustomerList
import auburnhall.core.UsageList
import kotlinx.serialization.json.Json
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

internal fun lists(service: OperatorService): Response =
    when (val read = service.lists()) {
        is OperatorRead.Error -> error(Status.SERVICE_UNAVAILABLE, read.message)
        is OperatorRead.Success -> {
            val c = read.value
            val customers = c?.customers ?: CustomerList()
            val lists = ListsReply(c?.version ?: 0, customers, c?.usage ?: UsageList(), c?.change)
            reply(Status.OK, ListsReply.serializer(), lists)
        }
    }

internal fun apply(
    service: OperatorService,
    request: Request,
    operator: String,
): Response {
    val body = Json.decodeFromString(ApplyRequest.serializer(), request.bodyString())
    val command = ApplyCommand(operator, body.changeId, body.expectedVersion, body.note, body.files)
    val (status, answer) = answer(service.apply(command))
    return reply(status, ApplyReply.serializer(), answer)
}

private fun answer(result: ApplyResult): Pair<Status, ApplyReply> =
    when (result) {
        is ApplyResult.Accepted -> Status.OK to ApplyReply(ApplyOutcome.ACCEPTED, result.version)
        is ApplyResult.Pending ->
            Status.ACCEPTED to ApplyReply(ApplyOutcome.PENDING, result.version, unconfirmed = result.unconfirmed)
        is ApplyResult.Conflict ->
            Status.CONFLICT to ApplyReply(ApplyOutcome.CONFLICT, result.version, changes = result.changes)
        is ApplyResult.Invalid ->
            Status.UNPROCESSABLE_ENTITY to ApplyReply(ApplyOutcome.INVALID, problems = result.problems)
        is ApplyResult.Unavailable ->
            Status.SERVICE_UNAVAILABLE to ApplyReply(ApplyOutcome.UNAVAILABLE, message = result.message)
        is ApplyResult.OutcomeUnknown ->
            Status.SERVICE_UNAVAILABLE to ApplyReply(ApplyOutcome.OUTCOME_UNKNOWN, message = result.message)
    }

internal fun audit(service: OperatorService): Response =
    when (val read = service.audit()) {
        is OperatorRead.Error -> error(Status.SERVICE_UNAVAILABLE, read.message)
        is OperatorRead.Success -> reply(Status.OK, AuditReply.serializer(), AuditReply(read.value))
    }
