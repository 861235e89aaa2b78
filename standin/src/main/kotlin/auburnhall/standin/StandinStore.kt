/*
 * The platform's store in memory: items, conditions, leases and watches over HTTP.
 */
package auburnhall.standin

import auburnhall.core.Scheduler
import auburnhall.http.InboundRequest
import auburnhall.http.RequestHandler
import auburnhall.http.ResponseWriter
import auburnhall.http.newHeaders
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import java.util.Base64
import java.util.TreeMap

/** Serves the store; all of it on the thread of [scheduler]. */
class StandinStore(
    private val scheduler: Scheduler,
) : RequestHandler {
    private val items = TreeMap<String, Item>()
    private val history = ArrayList<Item>()
    private val watches = ArrayList<Watch>()
    private val leases = HashMap<Long, Lease>()
    private var revision = 1L
    private var nextLease = 1L

    /** Writes [value] as the operator or a worker would. */
    fun put(
        key: String,
        value: String,
        lease: Long = 0,
    ) = record(Item(key, Base64.getEncoder().encodeToString(value.toByteArray()), ++revision, lease, gone = false))

    /** Removes [key]. */
    fun remove(key: String) {
        if (key in items) record(Item(key, "", ++revision, 0, gone = true))
    }

    override fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val query = QueryStringDecoder(request.uri).parameters().mapValues { it.value.first() }
        val body = String(request.body).takeIf { it.isNotEmpty() }?.let { Json.parseToJsonElement(it).jsonObject }
        val path = request.path.removePrefix("/auburnhall/")
        when {
            path == "kv-range" -> range(query, response)
            path == "kv-watch" -> watch(query, response)
            path == "kv-txn" && body != null -> commit(body, response)
            path == "kv-lease" && body != null -> grant(body.getValue("ttl_ms").jsonPrimitive.long, response)
            path.startsWith("kv-keep/") -> keep(path.substringAfter('/').toLong(), response)
            path.startsWith("kv-lease-end/") -> {
                expire(path.substringAfter('/').toLong())
                response.answer(OK) { }
            }
            else -> response.answer(NOT_FOUND) { }
        }
    }

    private fun range(
        query: Map<String, String>,
        response: ResponseWriter,
    ) {
        val prefix = query["prefix"].orEmpty()
        val found = items.tailMap(query["after_revision"].orEmpty(), false).values.filter { it.key.startsWith(prefix) }
        response.answer(OK) {
            put("items", buildJsonArray { found.take(PAGE).forEach { add(it.json()) } })
            put("has_more", found.size > PAGE)
            put("at", revision)
        }
    }

    private fun watch(
        query: Map<String, String>,
        response: ResponseWriter,
    ) {
        val watch = Watch(query["prefix"].orEmpty(), query.getValue("after_revision").toLong(), response)
        watches.add(watch)
        response.onDisconnect = { watches.remove(watch) }
        scheduler.after(query.getValue("wait_ms").toLong()) { watch.finish(emptyList()) }
        watch.look()
    }

    private fun commit(
        body: JsonObject,
        response: ResponseWriter,
    ) {
        val holds =
            body.getValue("precondition").jsonArray.map { it.jsonObject }.all {
                val at = it.getValue("revision").jsonPrimitive.long
                (items[it.text("key")]?.revision ?: 0) == at
            }
        if (!holds) {
            response.answer(CONFLICT) { }
            return
        }
        body.getValue("puts").jsonArray.map { it.jsonObject }.forEach { put ->
            val lease = put["lease"]?.jsonPrimitive?.long ?: 0
            record(Item(put.text("key"), put.text("value"), ++revision, lease, gone = false))
        }
        body.getValue("remove").jsonArray.forEach { remove(it.jsonPrimitive.content) }
        response.answer(OK) { put("revision", revision) }
    }

    private fun grant(
        ttlMs: Long,
        response: ResponseWriter,
    ) {
        val lease = Lease(nextLease++, ttlMs)
        leases[lease.id] = lease
        lease.renew()
        response.answer(OK) {
            put("lease", lease.id)
            put("ttl_ms", ttlMs)
        }
    }

    private fun keep(
        id: Long,
        response: ResponseWriter,
    ) {
        val lease = leases[id]
        lease?.renew()
        response.answer(if (lease == null) NOT_FOUND else OK) { put("ttl_ms", lease?.ttlMs ?: 0) }
    }

    private fun expire(id: Long) {
        leases.remove(id)
        items.values.filter { it.lease == id }.forEach { remove(it.key) }
    }

    private fun record(item: Item) {
        if (item.gone) items.remove(item.key) else items[item.key] = item
        history.add(item)
        watches.toList().forEach { it.look() }
    }

    private inner class Watch(
        private val prefix: String,
        private val after: Long,
        private val response: ResponseWriter,
    ) {
        fun look() {
            val events = history.filter { it.revision > after && it.key.startsWith(prefix) }
            if (events.isNotEmpty()) finish(events)
        }

        fun finish(events: List<Item>) {
            if (!watches.remove(this)) return
            response.answer(OK) {
                put("events", buildJsonArray { events.forEach { add(it.json()) } })
                put("at", if (events.isEmpty()) after else revision)
            }
        }
    }

    private inner class Lease(
        val id: Long,
        val ttlMs: Long,
    ) {
        private var renewals = 0

        fun renew() {
            val current = ++renewals
            scheduler.after(ttlMs) { if (renewals == current) expire(id) }
        }
    }

    private class Item(
        val key: String,
        val value: String,
        val revision: Long,
        val lease: Long,
        val gone: Boolean,
    ) {
        fun json() =
            buildJsonObject {
                put("key", key)
                put("revision", revision)
                if (gone) put("tombstone", true) else put("value", value)
            }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val CONFLICT = 412
        const val PAGE = 50
    }
}

private fun ResponseWriter.answer(
    status: Int,
    build: JsonObjectBuilder.() -> Unit,
) = send(
    status,
    newHeaders().set("Content-Type", "application/json"),
    buildJsonObject(build).toString().toByteArray(),
)

private fun JsonObject.text(name: String): String = (getValue(name) as JsonPrimitive).contentOrNull.orEmpty()
