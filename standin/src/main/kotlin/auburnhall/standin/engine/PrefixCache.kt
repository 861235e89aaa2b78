/*
 * The prompt prefixes that a stand-in engine caches, least recently used first to go.
 */
package auburnhall.standin.engine

import auburnhall.core.PromptPrefix

internal class PrefixCache(
    private val size: Int,
) {
    private val recent = LinkedHashMap<Int, Unit>(INITIAL_SIZE, LOAD_FACTOR, true)

    /** Number of blocks of [prompt] that are cached; all of its blocks are cached afterwards. */
    @Synchronized
    fun use(prompt: String): Int {
        val hashes = PromptPrefix.hashes(prompt)
        val hits = hashes.count { recent.containsKey(it) }
        hashes.forEach { recent[it] = Unit }
        while (recent.size > size) recent.remove(recent.keys.first())
        return hits
    }

    @Synchronized
    fun prefixes(): List<Int> = recent.keys.toList()

    @Synchronized
    fun clear() = recent.clear()

    private companion object {
        const val INITIAL_SIZE = 16
        const val LOAD_FACTOR = 0.75f
    }
}
