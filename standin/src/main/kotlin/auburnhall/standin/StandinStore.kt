/*
 * An in-memory implementation of the platform's key-value store: range reads, long-poll watches, conditional
 * transactions and leases over HTTP.
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

/** Request handler of the store; runs on the thread of [scheduler]. */
class StandinStore(
    private val scheduler: Scheduler,
) : RequestHandler {
    private val items = TreeMap<String, Item>()
    private val history = ArrayList<Item>()
    private val watches = ArrayList<Watch>()
    private val leases = HashMap<Long, Lease>()
    private var revision = 1L
    private var nextLeaseId = 1L

    /** Writes [value] to [key], unconditionally; the item is removed when [lease] expires, 0 for none. */
    fun put(
        key: String,
        value: String,
        lease: Long = 0,
    ) = record(Item(key, Base64.getEncoder().encodeToString(value.toByteArray()), ++revision, lease, removed = false))

    /** Removes [key] if it exists. */
    fun remove(key: String) {
        if (key in items) record(Item(key, "", ++revision, 0, removed = true))
    }

    override fun onRequest(
        request: InboundRequest,
        response: ResponseWriter,
    ) {
        val query = QueryStringDecoder(request.uri).parameters().mapValues { it.value.first() }
        val body =
            request.body
                .text()
                .takeIf { it.isNotEmpty() }
                ?.let { Json.parseToJsonElement(it).jsonObject }
        val path = request.path.removePrefix("/auburnhall/")
        when {
            path == "kv-range" -> range(query, response)
            path == "kv-watch" -> watch(query, response)
            path == "kv-txn" && body != null -> commit(body, response)
            path == "kv-lease" && body != null -> grantLease(body.getValue("ttl_ms").jsonPrimitive.long, response)
            path.startsWith("kv-keep/") -> renewLease(path.substringAfter('/').toLong(), response)
            path.startsWith("kv-lease-end/") -> {
                removeLease(path.substringAfter('/').toLong())
                response.sendJson(OK_STATUS) { }
            }
            else -> response.sendJson(NOT_FOUND_STATUS) { }
        }
    }

    private fun range(
        query: Map<String, String>,
        response: ResponseWriter,
    ) {
        val prefix = query["prefix"].orEmpty()
        val found = items.tailMap(query["after_revision"].orEmpty(), false).values.filter { it.key.startsWith(prefix) }
        response.sendJson(OK_STATUS) {
            put("items", buildJsonArray { found.take(PAGE_SIZE).forEach { add(it.toJson()) } })
            put("has_more", found.size > PAGE_SIZE)
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
        scheduler.after(query.getValue("wait_ms").toLong()) { watch.respond(emptyList()) }
        watch.sendEvents()
    }

    private fun commit(
        body: JsonObject,
        response: ResponseWriter,
    ) {
        val preconditionHolds =
            body.getValue("precondition").jsonArray.map { it.jsonObject }.all {
                val expectedRevision = it.getValue("revision").jsonPrimitive.long
                (items[it.text("key")]?.revision ?: 0) == expectedRevision
            }
        if (!preconditionHolds) {
            response.sendJson(PRECONDITION_FAILED_STATUS) { }
            return
        }
        body.getValue("puts").jsonArray.map { it.jsonObject }.forEach { put ->
            val lease = put["lease"]?.jsonPrimitive?.long ?: 0
            record(Item(put.text("key"), put.text("value"), ++revision, lease, removed = false))
        }
        body.getValue("remove").jsonArray.forEach { remove(it.jsonPrimitive.content) }
        response.sendJson(OK_STATUS) { put("revision", revision) }
    }

    private fun grantLease(
        ttlMs: Long,
        response: ResponseWriter,
    ) {
        val lease = Lease(nextLeaseId++, ttlMs)
        leases[lease.id] = lease
        lease.renew()
        response.sendJson(OK_STATUS) {
            put("lease", lease.id)
            put("ttl_ms", ttlMs)
        }
    }

    private fun renewLease(
        id: Long,
        response: ResponseWriter,
    ) {
        val lease = leases[id]
        lease?.renew()
        response.sendJson(if (lease == null) NOT_FOUND_STATUS else OK_STATUS) { put("ttl_ms", lease?.ttlMs ?: 0) }
    }

    private fun removeLease(id: Long) {
        leases.remove(id)
        items.values.filter { it.lease == id }.forEach { remove(it.key) }
    }

    private fun record(item: Item) {
        if (item.removed) items.remove(item.key) else items[item.key] = item
        history.add(item)
        watches.toList().forEach { it.sendEvents() }
    }

    private inner class Watch(
        private val prefix: String,
        private val afterRevision: Long,
        private val response: ResponseWriter,
    ) {
        fun sendEvents() {
            val events = history.filter { it.revision > afterRevision && it.key.startsWith(prefix) }
            if (events.isNotEmpty()) respond(events)
        }

        fun respond(events: List<Item>) {
            if (!watches.remove(this)) return
            response.sendJson(OK_STATUS) {
                put("events", buildJsonArray { events.forEach { add(it.toJson()) } })
                put("at", if (events.isEmpty()) afterRevision else revision)
            }
        }
    }

    private inner class Lease(
        val id: Long,
        val ttlMs: Long,
    ) {
        private var renewals = 0

        fun renew() {
            val renewal = ++renewals
            scheduler.after(ttlMs) { if (renewals == renewal) removeLease(id) }
        }
    }

    private class Item(
        val key: String,
        val value: String,
        val revision: Long,
        val lease: Long,
        val removed: Boolean,
    ) {
        fun toJson() =
            buildJsonObject {
                put("key", key)
                put("revision", revision)
                if (removed) put("tombstone", true) else put("value", value)
            }
    }

    private companion object {
        const val OK_STATUS = 200
        const val NOT_FOUND_STATUS = 404
        const val PRECONDITION_FAILED_STATUS = 412
        const val PAGE_SIZE = 50
    }
}

private fun ResponseWriter.sendJson(
    status: Int,
    build: JsonObjectBuilder.() -> Unit,
) = send(
    status,
    newHeaders().set("Content-Type", "application/json"),
    buildJsonObject(build).toString().toByteArray(),
)

private fun JsonObject.text(name: String): String = (getValue(name) as JsonPrimitive).contentOrNull.orEmpty()
