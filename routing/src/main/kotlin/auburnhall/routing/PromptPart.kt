/*
 * Parts of a prompt, as callers name them. Requests that begin with the same text share its part.
 */
package auburnhall.routing

/** Identifies one part of a prompt that several requests may share. */
@JvmInline
value class PromptPart(
    val id: String,
) {
    override fun toString(): String = id
}
