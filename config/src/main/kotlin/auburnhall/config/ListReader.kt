/*
 * Reads and checks the operators' lists.
 */
package auburnhall.config

import auburnhall.core.CustomerList
import auburnhall.core.UsageList
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Turns the text of the two files into lists, or into everything that is wrong with them. */
object ListReader {
    /** Reads both files. */
    fun read(files: ListFiles): Result<Lists, List<Problem>> =
        try {
            val customers = Json.decodeFromString(CustomerList.serializer(), files.customers)
            Ok(Lists(customers, Json.decodeFromString(UsageList.serializer(), files.usage)))
        } catch (e: SerializationException) {
            Err(listOf(Problem(CUSTOMERS_FILE, 1, "", e.message.orEmpty())))
        }
}
