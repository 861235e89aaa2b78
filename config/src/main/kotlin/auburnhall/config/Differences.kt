/*
 * What differs between two versions of the lists.
 */
package auburnhall.config

import auburnhall.core.CustomerList
import auburnhall.core.FieldChange
import auburnhall.core.UsageList
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Compares lists field by field. Elements of an array are told apart by name, so that moving one is no difference. */
object Differences {
    private val JSON = Json { encodeDefaults = true }
    private val NAME_FIELDS = listOf("name", "id", "plan")

    /** Every field that differs, ordered by field. */
    fun between(
        before: Lists,
        after: Lists,
    ): List<FieldChange> {
        val old = flatten(before)
        val new = flatten(after)
        return (old.keys + new.keys).sorted().filter { old[it] != new[it] }.map { FieldChange(it, old[it], new[it]) }
    }

    private fun flatten(lists: Lists): Map<String, String> {
        val fields = HashMap<String, String>()
        flatten("customers", JSON.encodeToJsonElement(CustomerList.serializer(), lists.customers), fields)
        flatten("usage", JSON.encodeToJsonElement(UsageList.serializer(), lists.usage), fields)
        return fields
    }

    private fun flatten(
        path: String,
        element: JsonElement,
        into: MutableMap<String, String>,
    ) {
        when (element) {
            is JsonObject -> element.forEach { (name, value) -> flatten("$path.$name", value, into) }
            is JsonPrimitive -> into[path] = element.content
            is JsonArray -> flattenArray(path, element, into)
        }
    }

    private fun flattenArray(
        path: String,
        array: JsonArray,
        into: MutableMap<String, String>,
    ) {
        if (array.all { it is JsonPrimitive }) {
            into[path] = array.joinToString(", ") { (it as JsonPrimitive).content }
        } else {
            array.forEach { flatten("$path[${nameOf(it as JsonObject)}]", it, into) }
        }
    }

    private fun nameOf(element: JsonObject): String =
        NAME_FIELDS.firstNotNullOf { element[it] as? JsonPrimitive }.content
}
