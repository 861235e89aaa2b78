/*
 * The directory, under version control, in which operators keep the lists.
 */
package auburnhall.ctl

import auburnhall.config.CUSTOMERS_FILE
import auburnhall.config.ListFiles
import auburnhall.config.USAGE_FILE
import auburnhall.config.api.ListsReply
import auburnhall.core.CustomerList
import auburnhall.core.UsageList
import kotlinx.serialization.json.Json
import java.io.File
import java.io.IOException

/** Files below [directory]. */
internal class ListDirectory(
    private val directory: File,
) {
    private val pretty =
        Json {
            prettyPrint = true
            encodeDefaults = true
        }

    /** Text of both lists. Throws [IOException] when one cannot be read. */
    fun files() = ListFiles(File(directory, CUSTOMERS_FILE).readText(), File(directory, USAGE_FILE).readText())

    /** The version that the files were made from; 0 when they were never shown nor applied. */
    fun baseVersion(): Long =
        File(directory, BASE_VERSION_FILE)
            .takeIf { it.exists() }
            ?.readText()
            ?.trim()
            ?.toLongOrNull() ?: 0

    /** Notes that the files now are [version]. */
    fun saveBaseVersion(version: Long) = File(directory, BASE_VERSION_FILE).writeText("$version\n")

    /** Writes [lists] and their version. */
    fun save(lists: ListsReply) {
        directory.mkdirs()
        val customers = pretty.encodeToString(CustomerList.serializer(), lists.customers)
        File(directory, CUSTOMERS_FILE).writeText(customers + "\n")
        File(directory, USAGE_FILE).writeText(pretty.encodeToString(UsageList.serializer(), lists.usage) + "\n")
        saveBaseVersion(lists.version)
    }

    private companion object {
        const val BASE_VERSION_FILE = "base-version"
    }
}
