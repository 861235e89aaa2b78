/*
 * The operators' two lists as they keep them under version control, and what can be wrong with them.
 */
package auburnhall.config

import auburnhall.core.CustomerList
import auburnhall.core.UsageList
import kotlinx.serialization.Serializable

/** Name of the file that holds the first list. */
const val CUSTOMERS_FILE = "customers.json"

/** Name of the file that holds the second list. */
const val USAGE_FILE = "usage.json"

/** The text of both files. */
@Serializable
data class ListFiles(
    val customers: String,
    val usage: String,
)

/** Both lists, checked. */
data class Lists(
    val customers: CustomerList = CustomerList(),
    val usage: UsageList = UsageList(),
)

/** Something wrong with a list. [line] counts from 1; [field] is a path such as `plans[2].weight`. */
@Serializable
data class Problem(
    val file: String,
    val line: Int,
    val field: String,
    val message: String,
) {
    override fun toString(): String = "$file:$line: $field: $message"
}
