/*
 * Parses the JSON log lines of entry processes.
 */
package auburnhall.ctl

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** A parsed log line; [fields] are those specific to the event. */
data class LogLine(
    val at: String,
    val process: String,
    val event: String,
    val request: String?,
    val fields: Map<String, String>,
) {
    companion object {
        private val COMMON_FIELDS = setOf("at", "process", "event", "request")

        /** Parses [text], ignoring any prefix before the JSON; null when it is not a log line of an entry process. */
        fun parse(text: String): LogLine? {
            val start = text.indexOf('{')
            if (start < 0) return null
            val json =
                try {
                    Json.parseToJsonElement(text.substring(start)) as? JsonObject
                } catch (_: SerializationException) {
                    null
                }
            return json?.let(::fromJson)
        }

        private fun fromJson(json: JsonObject): LogLine? {
            fun text(name: String) = (json[name] as? JsonPrimitive)?.contentOrNull
            val at = text("at")
            val process = text("process")
            val event = text("event")
            if (at == null || process == null || event == null) return null
            val fields = json.keys.filter { it !in COMMON_FIELDS }.associateWith { text(it).orEmpty() }
            return LogLine(at, process, event, text("request"), fields)
        }
    }
}
