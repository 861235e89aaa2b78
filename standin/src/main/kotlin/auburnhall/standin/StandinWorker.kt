/*
 * A worker: takes orders, joins replicas, streams numbered events as a head, and answers plain requests.
 */
package auburnhall.standin

import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders
import io.netty.buffer.Unpooled
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

/** What the stand-in platform knows of a worker. */
data class WorkerPlace(
    val id: String,
    val service: String,
    val domain: String?,
)

/** One worker of [platform]; all of it on the platform's thread. */
class StandinWorker(
    val place: WorkerPlace,
    private val platform: StandinPlatform,
) : RequestHandler {
    private var group: Group? = null
    private val staged = LinkedHashSet<String>()
    private val startedAtUnixMs = platform.nextBirth()

    /** Whether it runs; one that was killed answers nothing more. */
    var alive = true
        private set

    /** Requests that began to run here. */
    var runs = 0
        private set

    /** Whether it and [other] are members of one replica. */
    fun inReplica(other: StandinWorker): Boolean = group != null && group?.epoch == other.group?.epoch

    /** Stops answering for good. */
    fun kill() {
        alive = false
        platform.scheduler.after(EXPIRY_MS) { platform.store.remove(key) }
    }

    /** Writes its entry to the store. */
    fun register(address: String) {
        this.address = address
        publish()
    }

    private var address = ""
    private val key get() = "servers/${place.id}"

    override fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        if (!alive) return
        val expected = request.headers.get("Expect-Instance")
        when {
            expected != null && expected != place.id -> response.send(MISDIRECTED, newHeaders(), ByteArray(0))
            request.path == "/auburnhall/report" -> response.json(OK) { describe() }
            request.path == "/auburnhall/order" ->
                order(
                    Json.parseToJsonElement(String(request.body)).jsonObject,
                    response,
                )
            place.domain != null -> stream(request, response)
            else -> {
                runs++
                response.send(OK, signed(request, place.id), "{\"number\":$runs}".toByteArray())
            }
        }
    }

    private fun order(
        order: JsonObject,
        response: ResponseWriter,
    ) {
        val operation = order.getValue("operation").jsonPrimitive.content
        val matches = order["epoch"]?.jsonPrimitive?.long == group?.epoch
        when (operation) {
            "join" -> join(order)
            "stage" -> staged.add(order.getValue("model").jsonPrimitive.content)
            "open" -> if (matches && group?.state == READY) group = group?.copy(state = "open")
            "leave" -> if (matches) group = null
        }
        publish()
        val opened = operation != "open" || (matches && group?.state == "open")
        response.json(if (opened) BEGUN else CONFLICT) { }
    }

    private fun join(order: JsonObject) {
        val members = order.getValue("members").jsonArray.map { it.jsonPrimitive.content }
        val name = order.getValue("group").jsonPrimitive.content
        val joined = Group(name, order.getValue("epoch").jsonPrimitive.long, members, "joining")
        staged.add(order.getValue("model").jsonPrimitive.content)
        group = joined
        platform.scheduler.after(JOIN_MS) {
            if (group == joined && alive) {
                group = joined.copy(state = READY)
                publish()
            }
        }
    }

    private fun stream(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val served = group
        if (served?.state != "open") {
            response.send(UNAVAILABLE, signed(request, place.id).set("Not-Executed", "1"), ByteArray(0))
            return
        }
        runs++
        response.start(OK, signed(request, place.id).set("Content-Type", "text/event-stream"))
        val last = request.headers.get("Last-Event-Id")?.toInt() ?: 0
        next(served, response, last + 1)
    }

    private fun next(
        served: Group,
        response: ResponseWriter,
        number: Int,
    ) {
        platform.scheduler.after(EVENT_MS) {
            val whole = alive && served.members.all { platform.isAlive(it) }
            when {
                !whole -> Unit
                group?.epoch != served.epoch -> response.abort()
                number > EVENTS -> response.finish()
                else -> {
                    response.write(Unpooled.copiedBuffer("id: $number\ndata: n$number\n\n", Charsets.UTF_8))
                    next(served, response, number + 1)
                }
            }
        }
    }

    private fun publish() {
        if (alive) platform.store.put(key, buildJsonObject { describe() }.toString())
    }

    private fun JsonObjectBuilder.describe() {
        put("service", place.service)
        put("address", address)
        put("zone", "z1")
        put("slots", SLOTS)
        put("state", READY)
        put("born", startedAtUnixMs)
        put("pace", 1.0)
        place.domain?.let { put("domain", it) }
        putJsonArray("staged") { staged.forEach { add(it) } }
        put("models", buildJsonArray { })
        group?.let { put("group", it.json(place.id)) }
    }

    private data class Group(
        val name: String,
        val epoch: Long,
        val members: List<String>,
        val state: String,
    ) {
        fun json(id: String) =
            buildJsonObject {
                put("name", name)
                put("epoch", epoch)
                put("rank", members.indexOf(id))
                put("state", state)
            }
    }

    private companion object {
        const val READY = "in_service"
        const val OK = 200
        const val BEGUN = 202
        const val CONFLICT = 409
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503
        const val SLOTS = 8
        const val JOIN_MS = 100L
        const val EXPIRY_MS = 3_000L
        const val EVENT_MS = 50L

        /** Events of each stream. */
        const val EVENTS = 40
    }
}

private fun ResponseWriter.json(
    status: Int,
    build: JsonObjectBuilder.() -> Unit,
) = send(status, newHeaders(), buildJsonObject(build).toString().toByteArray())

private fun signed(
    request: InboundRequest,
    worker: String,
) = newHeaders().set("Response-Stamp", "standin.$worker").set(
    "Attempt-Id",
    request.headers.get("Attempt-Id") ?: "",
)
