/*
 * The engine stand-in as a process: an HTTP server, the watch over the other members, and its entry in the platform's
 * list.
 */
package auburnhall.standin.engine

import auburnhall.core.InstanceId
import auburnhall.engine.EngineOrder
import auburnhall.engine.EngineProtocol
import auburnhall.engine.EngineStatus
import auburnhall.engine.MemberAddress
import auburnhall.http.HttpCall
import auburnhall.http.HttpCaller
import auburnhall.http.HttpOutcome
import auburnhall.http.HttpServer
import auburnhall.http.ServerSettings
import auburnhall.standin.ListEntry
import auburnhall.standin.StandinCommand
import auburnhall.standin.awaitEnd
import kotlinx.serialization.SerializationException
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Runs one engine until the process is ended. */
class EngineCommand : StandinCommand {
    override val options = EngineOptions()
    private val caller = HttpCaller()
    private val engine by lazy { StandinEngine(options, ::loadWeights) }

    override fun run() {
        val server = HttpServer(ServerSettings(options.host, options.port), engine.handler)
        val address = "${options.host}:${server.port}"
        watchMembers()
        ListEntry(
            address = address,
            instance = options.instance,
            kind = "engine",
            dataCentre = options.dataCentre,
            fabricDomain = options.fabricDomain,
            accelerators = options.accelerators,
            honoursFencing = !options.ignoresFencing,
        ).register(caller, options.platform)
        println("engine ${options.instance} listens at $address")
        awaitEnd()
    }

    private fun loadWeights(form: EngineOrder.Form): Boolean {
        val url =
            "http://${options.platform}/weights/${form.model}/${form.modelVersion}?bytes=${options.weightBytes}"
        val outcome = caller.call(HttpCall("GET", url, LOAD_TIMEOUT_MILLIS))
        return outcome is HttpOutcome.Answer && outcome.status == OK
    }

    private fun watchMembers() {
        val thread = Executors.newSingleThreadScheduledExecutor { r -> Thread(r, "members").apply { isDaemon = true } }
        thread.scheduleWithFixedDelay(::checkMembers, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun checkMembers() {
        val a = engine.state.assignment() ?: return
        if (!engine.state.leads()) return
        val others = a.members.filter { it.instance != InstanceId(options.instance) }
        val missing = others.filterNot { isPresent(it, a) }.map { it.instance }
        if (engine.state.assignment()?.generation == a.generation) engine.state.missing = missing
    }

    private fun isPresent(
        member: MemberAddress,
        assignment: Assignment,
    ): Boolean {
        val url = "http://${member.address}${EngineProtocol.STATUS_PATH}"
        val outcome = caller.call(HttpCall("GET", url, MEMBER_TIMEOUT_MILLIS))
        if (outcome !is HttpOutcome.Answer) return false
        return try {
            val status = EngineProtocol.json.decodeFromString(EngineStatus.serializer(), outcome.text())
            status.replica == assignment.replica && status.generation == assignment.generation
        } catch (e: SerializationException) {
            System.err.println("member ${member.instance}: ${e.message}")
            false
        }
    }

    private companion object {
        const val CHECK_MILLIS = 100L
        const val MEMBER_TIMEOUT_MILLIS = 500L
        const val LOAD_TIMEOUT_MILLIS = 600_000L
        const val OK = 200
    }
}
