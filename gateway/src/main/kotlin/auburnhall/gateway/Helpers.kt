/*
 * The processes to which this one can pass requests on while it reaches no worker. Processes of the own data centre are
 * asked first, but all of them may have lost their workers together, so only the first tries of a request go there.
 * Those of an earlier build, whose refusals cannot be told from failures of workers, are asked when no other is left.
 */
package auburnhall.gateway

import auburnhall.core.Address
import auburnhall.core.Clock
import auburnhall.core.Worker
import auburnhall.http.HttpClient
import auburnhall.routing.Target
import auburnhall.routing.TargetKey
import kotlin.random.Random

/** Another process that serves requests that are passed on to it at [address]. */
data class Helper(
    val process: String,
    val address: Address,
    val dataCentre: String,
) {
    /** As a target of a request for [service] and [model]. */
    fun asTarget(
        service: String,
        model: String?,
    ): Target {
        val worker =
            Worker(
                id = process,
                service = service,
                address = address,
                dataCentre = "",
                slots = Int.MAX_VALUE,
                draining = false,
                startedAtUnixMs = 0,
                fabricDomain = null,
                stagedModels = emptyList(),
                loadedModels = emptyList(),
                membership = null,
            )
        return Target(TargetKey("helper:$process"), worker, null, worker.slots, model, helper = true)
    }
}

/** Selects helpers; [client] connects to them. Traffic thread only. */
class Helpers(
    private val clock: Clock,
    private val random: Random,
    private val self: Helper,
    val client: HttpClient,
) {
    private var known: List<Helper> = emptyList()
    private val avoidUntilMs = HashMap<String, Long>()

    /** Processes that do not state whether a request was executed. */
    private val unclear = HashSet<String>()

    /** The name of this process. */
    val processName: String get() = self.process

    /** Requests passed on since the start, each counted once for each helper. May be read on any thread. */
    @Volatile
    var sends = 0L
        private set

    /** Replaces the other processes by [processes]. */
    fun onProcesses(processes: Collection<Helper>) {
        known = processes.toList()
        val names = processes.mapTo(HashSet()) { it.process }
        avoidUntilMs.keys.retainAll(names)
        unclear.retainAll(names)
    }

    /** Selects a helper for a request that the processes [asked] did not take; null if no other one is left. */
    fun select(asked: Set<String>): Helper? {
        if (asked.size >= MAX_ASKED) return null
        val now = clock.nowMs()
        avoidUntilMs.values.removeIf { it <= now }
        val available = known.filter { it.process !in asked && it.process !in avoidUntilMs }
        val candidates = available.filter { it.process !in unclear }.ifEmpty { available }
        val near = if (asked.size < NEAR_TRIES) candidates.filter { it.dataCentre == self.dataCentre } else emptyList()
        return near.ifEmpty { candidates }.randomOrNull(random)
    }

    /** A request is passed on. */
    fun onSent() {
        sends++
    }

    /** [process] did not take a request, or failed while it served one. */
    fun onFailure(process: String) {
        avoidUntilMs[process] = clock.nowMs() + AVOID_MS
    }

    /** [process] has responded with a failure, and [stated] or not whether the request was executed. */
    fun onFailedResponse(
        process: String,
        stated: Boolean,
    ) {
        if (stated) unclear.remove(process) else unclear.add(process)
    }

    private companion object {
        /** Helpers that are asked for a request; each that refuses takes a round trip. */
        const val MAX_ASKED = 6

        /** Of these, those that are in the own data centre as far as possible. */
        const val NEAR_TRIES = 2

        /** About the time for which processes lose their workers. */
        const val AVOID_MS = 3_000L
    }
}
