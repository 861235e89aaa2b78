/*
 * Reads single values of a JSON object that may hold anything.
 */
package auburnhall.gateway

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull

/** The text of [element]; null when it is not a string. */
internal fun text(element: JsonElement?): String? = (element as? JsonPrimitive)?.takeIf { it.isString }?.content

/** The whole number that [element] is; null when it is none. */
internal fun number(element: JsonElement?): Int? = (element as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull

/** Whether [element] is true. */
internal fun flag(element: JsonElement?): Boolean = (element as? JsonPrimitive)?.booleanOrNull ?: false

/** Whether [element] is missing or null. */
internal fun isAbsent(element: JsonElement?) = element == null || element is JsonNull
