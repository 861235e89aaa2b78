/*
 * Who is registered, as the store itself says.
 */
package auburnhall.config

import auburnhall.core.ProcessId
import auburnhall.store.KeyValueStore
import auburnhall.store.Keys
import auburnhall.store.ReadResult

/** Reads the registered processes, ordered; null when the store does not answer. Blocks. */
internal fun registeredProcesses(store: KeyValueStore): List<ProcessId>? =
    when (val result = store.list(Keys.MEMBERS)) {
        is ReadResult.Success -> result.entries.map { ProcessId(it.key.removePrefix(Keys.MEMBERS)) }.sorted()
        is ReadResult.Error -> null
    }
