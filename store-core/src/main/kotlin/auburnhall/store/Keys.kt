/*
 * The keys under which this project keeps its state in the platform's key-value service.
 */
package auburnhall.store

import auburnhall.core.DataCentreId
import auburnhall.core.ProcessId

/** Names of the keys. Everything under [CONTROL] is covered by the one watch that each entry process holds. */
object Keys {
    /** Prefix of all keys that every entry process watches. */
    const val CONTROL = "auburnhall/control/"

    /** The operators' two lists, a [auburnhall.core.Configuration]. */
    const val CONFIGURATION = CONTROL + "configuration"

    /** Instances to drain or stop, a [auburnhall.core.DrainList]. */
    const val DRAINS = CONTROL + "drains"

    /** Prefix of the assignment tables. */
    const val ASSIGNMENTS = CONTROL + "assignments/"

    /** Prefix of the registered entry processes. */
    const val MEMBERS = CONTROL + "members/"

    /** Prefix of the archived change records. */
    const val AUDIT = "auburnhall/audit/"

    /** Prefix of the ledger of intents. */
    const val LEDGER = "auburnhall/ledger/"

    /** The assignment table of [dataCentre]. */
    fun assignment(dataCentre: DataCentreId): String = ASSIGNMENTS + dataCentre.value

    /** The registration of [process]. */
    fun member(process: ProcessId): String = MEMBERS + process.value

    /** The change record of configuration [version]; zero-padded so that keys sort by version. */
    fun audit(version: Long): String = AUDIT + version.toString().padStart(VERSION_DIGITS, '0')

    private const val VERSION_DIGITS = 12
}
