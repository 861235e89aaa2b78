/*
 * When each entry process was last heard, directly or through others. Ages travel with heartbeats, so a process is
 * known to live by all although only a few exchange heartbeats with it.
 */
package auburnhall.membership

import auburnhall.core.Deadline
import auburnhall.core.ProcessId
import kotlin.random.Random

/** Signs of life by process. Used on the control thread only. */
internal class LivenessTable(
    private val random: Random,
) {
    private data class Sign(
        val heardAt: Long,
        val draining: Boolean,
    )

    private val signs = HashMap<ProcessId, Sign>()

    /** Notes that [process] was alive at [atMillis]; older signs than the one known are ignored. */
    fun heard(
        process: ProcessId,
        atMillis: Long,
        draining: Boolean,
    ) {
        val known = signs[process]
        if (known == null || atMillis > known.heardAt) signs[process] = Sign(atMillis, draining)
    }

    /** Notes that the sender of [heartbeat] was alive at [atMillis], and whom it had heard before. */
    fun heard(
        heartbeat: Heartbeat,
        atMillis: Long,
    ) {
        heard(heartbeat.process, atMillis, heartbeat.draining)
        heartbeat.heard.forEach { heard(it.process, atMillis - it.ageMillis, it.draining) }
    }

    /** Drops every process that is not in [registered]. */
    fun retain(registered: Set<ProcessId>) {
        signs.keys.retainAll(registered)
    }

    /** Processes heard within [ANSWERING_MILLIS] that are not draining. */
    fun answering(nowMillis: Long): Set<ProcessId> =
        signs
            .filterValues {
                !it.draining &&
                    !Deadline(
                        it.heardAt + ANSWERING_MILLIS,
                    ).hasPassed(nowMillis)
            }.keys
            .toSet()

    /** Up to [PASSED_ON] signs of life, chosen at random among those younger than [PASS_ON_MILLIS]. */
    fun toPassOn(nowMillis: Long): List<HeardProcess> =
        signs
            .filterValues { nowMillis - it.heardAt < PASS_ON_MILLIS }
            .map { (process, sign) -> HeardProcess(process, nowMillis - sign.heardAt, sign.draining) }
            .shuffled(random)
            .take(PASSED_ON)

    internal companion object {
        const val ANSWERING_MILLIS = 10_000L
        const val PASS_ON_MILLIS = 6_000L
        const val PASSED_ON = 12
    }
}
