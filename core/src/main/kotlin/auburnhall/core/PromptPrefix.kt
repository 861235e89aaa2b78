/*
 * Hashes of prompt prefixes, by which routing recognises that an engine has cached the beginning of a prompt.
 */
package auburnhall.core

/** Splits prompts into blocks of [BLOCK_CHARS] characters and hashes each prefix that ends on a block boundary. */
object PromptPrefix {
    /** Characters of one block. */
    const val BLOCK_CHARS = 64

    /** Most prefixes hashed of one prompt; longer prompts are recognised by their beginning. */
    const val MAX_BLOCKS = 16

    private const val FACTOR = 31

    /** Returns the hash of each prefix of [prompt], shortest first; empty when it is shorter than one block. */
    fun hashes(prompt: String): List<Int> {
        val blocks = minOf(prompt.length / BLOCK_CHARS, MAX_BLOCKS)
        var hash = 1
        return (0 until blocks).map { block ->
            for (i in block * BLOCK_CHARS until (block + 1) * BLOCK_CHARS) {
                hash = hash * FACTOR + prompt[i].code
            }
            hash
        }
    }
}
