/*
 * Where explanations are kept and found.
 */
package auburnhall.explain

import auburnhall.core.Explanation
import auburnhall.core.RequestId

/** Keeps explanations in the memory of several entry processes for an hour. */
interface ExplanationLog {
    /** Keeps [explanation]; never blocks. */
    fun record(explanation: Explanation)

    /** Finds what any reachable entry process holds of [requestId]; blocks for the peers' answers. */
    fun find(requestId: RequestId): List<Explanation>
}
