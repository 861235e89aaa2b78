/*
 * Checks the shape of a list: that every field is known and present and has the right type.
 */
package auburnhall.config

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** Compares JSON with what a type's descriptor asks for. [report] is told each path and what is wrong with it. */
@OptIn(ExperimentalSerializationApi::class)
internal class ListShape(
    private val report: (path: String, message: String) -> Unit,
) {
    /** Checks [element] at [path] against [descriptor]. */
    fun check(
        path: String,
        element: JsonElement,
        descriptor: SerialDescriptor,
    ) {
        val type = if (descriptor.isInline) descriptor.getElementDescriptor(0) else descriptor
        when (type.kind) {
            StructureKind.CLASS -> checkObject(path, element, type)
            StructureKind.LIST -> checkArray(path, element, type.getElementDescriptor(0))
            else -> checkPrimitive(path, element, type.kind)
        }
    }

    private fun checkObject(
        path: String,
        element: JsonElement,
        type: SerialDescriptor,
    ) {
        if (element !is JsonObject) return report(path, "must be an object")
        val names = (0 until type.elementsCount).map { type.getElementName(it) }
        element.keys.filter { it !in names }.forEach { report(join(path, it), "is not a known field") }
        names.forEachIndexed { i, name ->
            val value = element[name]
            if (value != null) {
                check(join(path, name), value, type.getElementDescriptor(i))
            } else if (!type.isElementOptional(i)) {
                report(join(path, name), "is missing")
            }
        }
    }

    private fun checkArray(
        path: String,
        element: JsonElement,
        type: SerialDescriptor,
    ) {
        if (element !is JsonArray) return report(path, "must be an array")
        element.forEachIndexed { i, value -> check("$path[$i]", value, type) }
    }

    private fun checkPrimitive(
        path: String,
        element: JsonElement,
        kind: Any,
    ) {
        val value = element as? JsonPrimitive
        val plain = value?.takeUnless { it.isString }
        when (kind) {
            PrimitiveKind.STRING -> if (value?.isString != true) report(path, "must be a string")
            PrimitiveKind.INT -> if (plain?.intOrNull == null) report(path, "must be an integer")
            PrimitiveKind.LONG -> if (plain?.longOrNull == null) report(path, "must be an integer")
            PrimitiveKind.DOUBLE -> if (plain?.doubleOrNull == null) report(path, "must be a number")
            PrimitiveKind.BOOLEAN -> if (plain?.booleanOrNull == null) report(path, "must be true or false")
        }
    }

    private fun join(
        path: String,
        name: String,
    ) = if (path.isEmpty()) name else "$path.$name"
}
