/*
 * Commands on instances and requests.
 */
package auburnhall.ctl

import auburnhall.config.api.DrainBody
import auburnhall.config.api.DrainsReply
import auburnhall.config.api.ExplanationsReply
import auburnhall.config.api.FleetStatus
import auburnhall.config.api.OperatorPaths
import auburnhall.core.Explanation
import auburnhall.core.InstanceId
import kotlinx.serialization.json.Json
import java.net.URLEncoder

/** Drains instances, shows the fleet and explains requests. */
internal class FleetCommands(
    private val client: OperatorClient,
    private val printer: Printer,
) {
    /** Asks that [instance] be drained, and stopped when [stop] is set. */
    fun drain(
        instance: String,
        stop: Boolean,
    ): ExitCode {
        val body = Json.encodeToString(DrainBody.serializer(), DrainBody(InstanceId(instance), stop))
        return drains(OperatorCall("POST", OperatorPaths.DRAINS, body))
    }

    /** Takes drain or stop of [instance] back. */
    fun undrain(instance: String): ExitCode =
        drains(OperatorCall("DELETE", "${OperatorPaths.DRAINS}?instance=${encode(instance)}"))

    /** Prints the state of the fleet. */
    fun status(): ExitCode =
        printer.finish(client.call(OperatorCall("GET", OperatorPaths.STATUS), FleetStatus.serializer())) { status ->
            printer.print(FleetStatus.serializer(), status, ::text)
            ExitCode.DONE
        }

    /** Prints what is known of [request]. */
    fun explain(request: String): ExitCode {
        val call = OperatorCall("GET", "${OperatorPaths.EXPLANATIONS}/${encode(request)}")
        return printer.finish(client.call(call, ExplanationsReply.serializer())) { reply ->
            printer.print(
                ExplanationsReply.serializer(),
                reply,
            ) { r -> r.explanations.joinToString("\n\n", transform = ::text) }
            if (reply.explanations.isEmpty()) {
                printer.fail(ExitCode.REFUSED, "nothing is known of request $request")
            } else {
                ExitCode.DONE
            }
        }
    }

    private fun drains(call: OperatorCall): ExitCode =
        printer.finish(client.call(call, DrainsReply.serializer())) { reply ->
            printer.print(DrainsReply.serializer(), reply, ::text)
            ExitCode.DONE
        }

    private fun text(reply: DrainsReply): String {
        val table = Table("INSTANCE", "REQUEST", "OPERATOR", "AT")
        reply.drains.forEach { table.row(it.instance, if (it.stop) "stop" else "drain", it.operator, it.at) }
        return table.toString()
    }

    private fun text(status: FleetStatus): String {
        val centres = Table("DATA CENTRE", "CONTROLLER", "TERM")
        status.dataCentres.forEach { centres.row(it.dataCentre, it.controller, it.term) }
        val replicas = Table("REPLICA", "MODEL", "DATA CENTRE", "STATE", "RUNNING", "CAPACITY", "MEMBERS")
        status.replicas.forEach {
            replicas.row(
                it.replica,
                it.model,
                it.dataCentre,
                it.state,
                it.running,
                it.capacity,
                it.members.joinToString(","),
            )
        }
        val instances = Table("INSTANCE", "KIND", "DATA CENTRE", "STATE", "REPLICA")
        status.instances.forEach { instances.row(it.instance, it.kind, it.dataCentre, it.state, it.replica) }
        val downtime = Table("MODEL", "GROUP DOWNTIME S")
        status.groupDowntime.forEach { downtime.row(it.model, it.seconds) }
        downtime.row("(all)", status.groupDowntime.sumOf { it.seconds })
        val head =
            "seen by ${status.process}, configuration version ${status.configVersion ?: "none in force"}, " +
                "${status.entryProcesses} entry processes, ${status.strandedAccelerators} stranded accelerators"
        return listOf(head, centres, replicas, instances, downtime).joinToString("\n\n")
    }

    private fun text(explanation: Explanation): String {
        val e = explanation
        val head =
            "request ${e.requestId} of ${e.customer ?: "an unknown customer"} for ${e.target}\n" +
                "arrived ${e.arrivedAt} at ${e.process}, took ${e.tookMillis} ms, status ${e.status}, ${e.runState}"
        val events =
            e.events.map {
                "  at ${it.atMillis} ms, ${it.step} at ${it.peer}: ${it.detail}"
            }
        return (listOf(head) + events).joinToString("\n")
    }

    private fun encode(value: String) = URLEncoder.encode(value, Charsets.UTF_8)
}
