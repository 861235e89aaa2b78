/*
 * Decides from the platform's lagging list of instances which entry processes are gone for good.
 */
package auburnhall.membership

import auburnhall.core.Clock
import auburnhall.core.Deadline
import auburnhall.core.InstanceId
import auburnhall.core.deadlineIn

/** Remembers since when an instance has been missing from the list. Used on the control thread only. */
internal class GoneInstances(
    private val clock: Clock,
) {
    private val removableFrom = HashMap<InstanceId, Deadline>()

    /**
     * Returns those of [members] whose instance has been missing from [listed] for [MISSING_MILLIS]. A list that does
     * not show [own] is not to be trusted and removes nobody.
     */
    fun gone(
        members: List<Member>,
        listed: Set<InstanceId>,
        own: InstanceId,
    ): List<Member> {
        if (own !in listed) {
            removableFrom.clear()
            return emptyList()
        }
        val missing = members.map { it.instance }.filter { it !in listed }.toSet()
        removableFrom.keys.retainAll(missing)
        missing.forEach { removableFrom.getOrPut(it) { clock.deadlineIn(MISSING_MILLIS) } }
        val now = clock.monotonicMillis()
        return members.filter { removableFrom[it.instance]?.hasPassed(now) == true }
    }

    internal companion object {
        const val MISSING_MILLIS = 60_000L
    }
}
