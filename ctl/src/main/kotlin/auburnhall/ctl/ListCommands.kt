/*
 * Commands on the two lists.
 */
package auburnhall.ctl

import auburnhall.config.Differences
import auburnhall.config.ListReader
import auburnhall.config.Lists
import auburnhall.config.Problem
import auburnhall.config.api.ApplyOutcome
import auburnhall.config.api.ApplyReply
import auburnhall.config.api.ApplyRequest
import auburnhall.config.api.AuditReply
import auburnhall.config.api.ListsReply
import auburnhall.config.api.OperatorPaths
import auburnhall.core.ChangeRecord
import auburnhall.core.FieldChange
import com.github.michaelbull.result.fold
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.io.File
import java.io.IOException
import java.util.UUID

/** Shows, checks and changes the lists. */
internal class ListCommands(
    private val client: OperatorClient,
    private val printer: Printer,
) {
    private val text = ListText()

    /** Prints the lists as stored; [save] names a directory to write them to. */
    fun show(save: String?): ExitCode =
        printer.finish(stored()) { lists ->
            printer.print(ListsReply.serializer(), lists, text::lists)
            save?.let { ListDirectory(File(it)).save(lists) }
            ExitCode.DONE
        }

    /** Checks the files in [directory]. */
    fun validate(directory: String): ExitCode =
        withLists(directory) {
            printer.print(ListSerializer(Problem.serializer()), emptyList()) { "valid" }
            ExitCode.DONE
        }

    /** Prints what the files in [directory] would change. */
    fun diff(directory: String): ExitCode =
        withLists(directory) { lists ->
            printer.finish(stored()) { reply ->
                val differences = Differences.between(Lists(reply.customers, reply.usage), lists)
                printer.print(ListSerializer(FieldChange.serializer()), differences, text::differences)
                ExitCode.DONE
            }
        }

    /** Stores the files in [directory]. */
    fun apply(
        directory: String,
        options: CtlOptions,
    ): ExitCode =
        withLists(directory) {
            val files = ListDirectory(File(directory))
            val changeId = options.changeId ?: UUID.randomUUID().toString()
            val request = ApplyRequest(changeId, options.expect ?: files.baseVersion(), options.note, files.files())
            val body = Json.encodeToString(ApplyRequest.serializer(), request)
            val call = OperatorCall("POST", OperatorPaths.APPLY, body)
            printer.finish(client.call(call, ApplyReply.serializer()) { it in APPLY_STATUSES }) { reply ->
                printer.print(ApplyReply.serializer(), reply) { text.applied(it, changeId) }
                if (reply.outcome in STORED) files.saveBaseVersion(request.expectedVersion + 1)
                exitCode(reply.outcome)
            }
        }

    /** Prints every change. */
    fun audit(): ExitCode =
        printer.finish(client.call(OperatorCall("GET", OperatorPaths.AUDIT), AuditReply.serializer())) { reply ->
            printer.print(AuditReply.serializer(), reply) { text.changes(it.changes) }
            ExitCode.DONE
        }

    private fun stored() = client.call(OperatorCall("GET", OperatorPaths.LISTS), ListsReply.serializer())

    private fun withLists(
        directory: String,
        command: (Lists) -> ExitCode,
    ): ExitCode =
        try {
            ListReader.read(ListDirectory(File(directory)).files()).fold(success = command, failure = ::invalid)
        } catch (e: IOException) {
            printer.fail(ExitCode.REFUSED, "cannot read the lists: ${e.message}")
        }

    private fun invalid(problems: List<Problem>): ExitCode {
        printer.print(ListSerializer(Problem.serializer()), problems) { it.joinToString("\n") }
        return ExitCode.REFUSED
    }

    private fun exitCode(outcome: ApplyOutcome): ExitCode =
        when (outcome) {
            ApplyOutcome.ACCEPTED -> ExitCode.DONE
            ApplyOutcome.INVALID -> ExitCode.REFUSED
            ApplyOutcome.CONFLICT -> ExitCode.CONFLICT
            ApplyOutcome.PENDING, ApplyOutcome.OUTCOME_UNKNOWN -> ExitCode.PENDING
            ApplyOutcome.UNAVAILABLE -> ExitCode.UNREACHABLE
        }

    private companion object {
        val APPLY_STATUSES = setOf(200, 202, 409, 422, 503)
        val STORED = setOf(ApplyOutcome.ACCEPTED, ApplyOutcome.PENDING)
    }
}

/** The lists and their changes in words. */
internal class ListText {
    /** [lists] as tables. */
    fun lists(lists: ListsReply): String {
        val plans = Table("PLAN", "REQUESTS/S", "TOKENS/S", "CONCURRENT", "WEIGHT", "FIRST TOKEN MS", "ANSWER MS")
        lists.customers.plans.forEach {
            plans.row(
                it.name,
                it.requestsPerSecond,
                it.tokensPerSecond,
                it.concurrentRequests,
                it.weight,
                it.firstTokenMillis,
                it.answerMillis,
            )
        }
        val customers = Table("CUSTOMER", "PLAN", "KEYS")
        lists.customers.customers.forEach { customers.row(it.id, it.plan, it.keyDigests.size) }
        val models = Table("MODEL", "VERSION", "INSTANCES/REPLICA", "REPLICAS", "SPARES", "CROSS DOMAIN")
        lists.usage.models.forEach {
            models.row(it.name, it.version, it.instancesPerReplica, it.replicas, it.spareInstances, it.crossDomain)
        }
        val services = Table("SERVICE", "IDEMPOTENT METHODS")
        lists.usage.services.forEach { services.row(it.name, it.idempotentMethods.joinToString(",")) }
        val grants = Table("PLAN", "MODELS", "SERVICES")
        lists.usage.grants.forEach { grants.row(it.plan, it.models.joinToString(","), it.services.joinToString(",")) }
        return listOf("version ${lists.version}", plans, customers, models, services, grants).joinToString("\n\n")
    }

    /** [differences], one a line. */
    fun differences(differences: List<FieldChange>): String =
        differences
            .joinToString("\n") {
                "${it.field}: ${it.before ?: "(none)"} -> ${it.after ?: "(none)"}"
            }.ifEmpty { "no difference" }

    /** [changes] with their differences. */
    fun changes(changes: List<ChangeRecord>): String = changes.joinToString("\n") { change(it) }

    private fun change(change: ChangeRecord): String {
        val head = "version ${change.version} by ${change.operator} at ${change.at} (${change.changeId}) ${change.note}"
        val lines = differences(change.differences).lines().map { "  $it" }
        return (listOf(head.trimEnd()) + lines).joinToString("\n")
    }

    /** What became of an apply. */
    fun applied(
        reply: ApplyReply,
        changeId: String,
    ): String =
        when (reply.outcome) {
            ApplyOutcome.ACCEPTED -> "accepted: version ${reply.version} is in force everywhere"
            ApplyOutcome.PENDING ->
                "version ${reply.version} is stored, not yet accepted; not confirmed by ${reply.unconfirmed}. " +
                    again(changeId)
            ApplyOutcome.OUTCOME_UNKNOWN -> "not known whether it was stored: ${reply.message}. " + again(changeId)
            ApplyOutcome.UNAVAILABLE -> "nothing was changed: ${reply.message}"
            ApplyOutcome.INVALID -> reply.problems.joinToString("\n")
            ApplyOutcome.CONFLICT ->
                "nothing was changed: the lists are at version ${reply.version} by now\n" + changes(reply.changes)
        }

    private fun again(changeId: String) = "Run the command again with --change-id $changeId"
}
