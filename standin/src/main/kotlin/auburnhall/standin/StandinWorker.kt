/*
 * A stand-in worker: carries out the controller's orders, joins replicas, streams numbered events as the head of a
 * replica, and answers requests for a plain service.
 */
package auburnhall.standin

import auburnhall.core.Clock
import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** The fixed attributes of a worker; [domain] is null for workers of a plain service. */
data class WorkerIdentity(
    val id: String,
    val service: String,
    val domain: String?,
    val dataCentre: String = StandinPlatform.DATA_CENTRES.first(),
)

/** A request that reached a worker in [dataCentre]. */
data class Arrival(
    val atMs: Long,
    val dataCentre: String,
)

/** What streams send; tests replace it to see each run and to break it off. */
open class StreamScript {
    /** [worker] begins to run [request], whose first event is [first]. */
    open fun begin(
        request: String,
        worker: String,
        first: Int,
    ) = Unit

    /** The data of event [number]; null breaks the stream off in the middle of that event. */
    open fun data(
        request: String,
        worker: String,
        number: Int,
    ): String? = "n$number"

    /** [worker] does not go on with [request]: it crashed, or its replica lost a member or changed. */
    open fun broken(
        request: String,
        worker: String,
    ) = Unit
}

/** One worker of [platform]; runs on the platform's event loop thread. */
class StandinWorker(
    val identity: WorkerIdentity,
    private val platform: StandinPlatform,
) : RequestHandler {
    private var membership: Membership? = null
    private val staged = LinkedHashSet<String>()
    private var startNumber = platform.takeStartNumber()
    private val openStreams = LinkedHashSet<ResponseWriter>()

    /** False once it was killed; from then on it answers nothing. */
    var alive = true
        private set

    /** Number of requests whose execution began on this worker. */
    var executions = 0
        private set

    /** Whether this worker and [other] are members of the same replica. */
    fun sharesReplicaWith(other: StandinWorker): Boolean =
        membership != null && membership?.epoch == other.membership?.epoch

    /** Stops answering until a [crash]; the entry leaves the store later, as if its lease had expired. */
    fun kill() {
        alive = false
        platform.scheduler.after(ENTRY_EXPIRY_MS) { if (!alive) platform.store.remove(key) }
    }

    /** Resets all its streams, loses its membership and starts again at once, also if it was killed. */
    fun crash() {
        alive = true
        openStreams.forEach { it.abort() }
        openStreams.clear()
        membership = null
        startNumber = platform.takeStartNumber()
        publish()
    }

    /** Until then it is cold, as its entry and its responses say; null if it never was. */
    var coldUntilMs: Long? = null
        set(value) {
            field = value
            publish()
        }
    private val coldRemainingMs: Long? get() = coldUntilMs?.let { (it - Clock.SYSTEM.nowMs()).coerceAtLeast(0) }

    /** HOST:PORT; the entry is written to the store when it is set. */
    var address = ""
        set(value) {
            field = value
            publish()
        }
    private val key get() = "servers/${identity.id}"

    override fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        if (!alive) return
        val expected = request.headers.get("Expect-Instance")
        when {
            expected != null && expected != identity.id -> response.send(MISDIRECTED_STATUS, newHeaders(), ByteArray(0))
            request.path == "/health" ->
                response.send(
                    OK_STATUS,
                    stamped(request, identity.id).setCold(coldRemainingMs),
                    ByteArray(0),
                )
            request.path == "/auburnhall/report" -> response.sendJson(OK_STATUS) { putEntry() }
            request.path == "/auburnhall/order" ->
                order(
                    Json.parseToJsonElement(request.body.text()).jsonObject,
                    response,
                )
            identity.domain != null -> stream(request, response)
            else -> {
                executions++
                platform.onArrival(identity.dataCentre)
                platform.orderTimesMs.add(Clock.SYSTEM.nowMs())
                val headers = stamped(request, identity.id).setCold(coldRemainingMs)
                platform.ordersPerSecond?.let { headers.set("Server-Limit", it.toString()) }
                response.send(OK_STATUS, headers, "{\"number\":$executions}".toByteArray())
            }
        }
    }

    private fun order(
        order: JsonObject,
        response: ResponseWriter,
    ) {
        val operation = order.getValue("operation").jsonPrimitive.content
        val epochMatches = order["epoch"]?.jsonPrimitive?.long == membership?.epoch
        when (operation) {
            "join" -> join(order)
            "stage" -> staged.add(order.getValue("model").jsonPrimitive.content)
            "open" -> if (epochMatches && membership?.state == READY) membership = membership?.copy(state = "open")
            "leave" -> if (epochMatches) membership = null
        }
        publish()
        val accepted = operation != "open" || (epochMatches && membership?.state == "open")
        response.sendJson(if (accepted) ACCEPTED_STATUS else CONFLICT_STATUS) { }
    }

    private fun join(order: JsonObject) {
        val members = order.getValue("members").jsonArray.map { it.jsonPrimitive.content }
        val name = order.getValue("group").jsonPrimitive.content
        val joining = Membership(name, order.getValue("epoch").jsonPrimitive.long, members, "joining")
        staged.add(order.getValue("model").jsonPrimitive.content)
        membership = joining
        platform.scheduler.after(JOIN_DURATION_MS) {
            if (membership == joining && alive) {
                membership = joining.copy(state = READY)
                publish()
            }
        }
    }

    private fun stream(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        platform.onArrival(identity.dataCentre)
        val current = membership
        if (current?.state != "open") {
            response.send(UNAVAILABLE_STATUS, stamped(request, identity.id).set("Not-Executed", "1"), ByteArray(0))
            return
        }
        executions++
        response.start(
            OK_STATUS,
            stamped(request, identity.id).setCold(coldRemainingMs).set("Content-Type", "text/event-stream"),
        )
        openStreams.add(response)
        if (platform.crashesAt(request.headers.get("Prompt-Prefix").orEmpty())) {
            platform.scheduler.after(EVENT_INTERVAL_MS, ::crash)
        } else {
            val first = (request.headers.get("Last-Event-Id")?.toInt() ?: 0) + 1
            val id = request.headers.get("Attempt-Id").orEmpty()
            platform.streamScript.begin(id, identity.id, first)
            streamEvent(StreamRun(id, current, response), first)
        }
    }

    private fun streamEvent(
        run: StreamRun,
        number: Int,
    ) {
        val served = run.served
        val response = run.response
        platform.scheduler.after(EVENT_INTERVAL_MS) {
            val allMembersAlive = alive && served.members.all { platform.isAlive(it) }
            when {
                // A replica that lost a member sends nothing more but keeps the connection open.
                !allMembersAlive || response !in openStreams -> platform.streamScript.broken(run.request, identity.id)
                membership?.epoch != served.epoch -> {
                    platform.streamScript.broken(run.request, identity.id)
                    response.abort()
                }
                number > EVENTS_PER_STREAM -> {
                    openStreams.remove(response)
                    response.finish()
                }
                run.send(number) -> streamEvent(run, number + 1)
                else -> {
                    openStreams.remove(response)
                    platform.scheduler.after(EVENT_INTERVAL_MS) { response.abort() }
                }
            }
        }
    }

    private fun publish() {
        if (alive) platform.store.put(key, buildJsonObject { putEntry() }.toString())
    }

    private fun JsonObjectBuilder.putEntry() {
        put("service", identity.service)
        put("address", address)
        put("zone", identity.dataCentre)
        put("slots", SLOTS)
        put("state", READY)
        put("born", startNumber)
        put("pace", 1.0)
        coldRemainingMs?.let { put("cold_remaining_ms", it) }
        identity.domain?.let { put("domain", it) }
        putJsonArray("staged") { staged.forEach { add(it) } }
        put("models", buildJsonArray { })
        membership?.let { put("group", it.toJson(identity.id)) }
    }

    private inner class StreamRun(
        val request: String,
        val served: Membership,
        val response: ResponseWriter,
    ) {
        /** Sends event [number]; false if the script breaks the stream off inside it. */
        fun send(number: Int): Boolean {
            val data = platform.streamScript.data(request, identity.id, number)
            val text = if (data == null) "id: $number\nda" else "id: $number\ndata: $data\n\n"
            response.write(Unpooled.copiedBuffer(text, Charsets.UTF_8))
            return data != null
        }
    }

    private data class Membership(
        val name: String,
        val epoch: Long,
        val members: List<String>,
        val state: String,
    ) {
        fun toJson(workerId: String) =
            buildJsonObject {
                put("name", name)
                put("epoch", epoch)
                put("rank", members.indexOf(workerId))
                put("state", state)
            }
    }

    private companion object {
        const val READY = "in_service"
        const val OK_STATUS = 200
        const val ACCEPTED_STATUS = 202
        const val CONFLICT_STATUS = 409
        const val MISDIRECTED_STATUS = 421
        const val UNAVAILABLE_STATUS = 503
        const val SLOTS = 8
        const val JOIN_DURATION_MS = 100L
        const val ENTRY_EXPIRY_MS = 3_000L
        const val EVENT_INTERVAL_MS = 50L

        const val EVENTS_PER_STREAM = 40
    }
}

private fun ResponseWriter.sendJson(
    status: Int,
    build: JsonObjectBuilder.() -> Unit,
) = send(status, newHeaders(), buildJsonObject(build).toString().toByteArray())

private fun stamped(
    request: InboundRequest,
    workerId: String,
) = newHeaders().set("Response-Stamp", "standin.$workerId").set(
    "Attempt-Id",
    request.headers.get("Attempt-Id") ?: "",
)

/** A worker that was never cold says nothing of it. */
private fun HttpHeaders.setCold(remainingMs: Long?): HttpHeaders =
    if (remainingMs == null) this else set("Cold-Remaining", (remainingMs / MS_PER_SECOND).toString())

private const val MS_PER_SECOND = 1_000.0
