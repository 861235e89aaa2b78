/*
 * A replica that batches continuously: all running requests generate tokens at one speed, which falls as the batch
 * grows. It does not model memory for KV caches, preemption, or prefill that slows down the other requests of a batch.
 */
package auburnhall.bench.load

import auburnhall.core.DataCentreId
import auburnhall.core.Deadline
import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState
import auburnhall.core.ReplicaStatus
import java.util.PriorityQueue
import kotlin.random.Random

/** How fast a replica is. [aloneSpeed] and [fullSpeed] are tokens a second of one request, alone and in a full batch. */
data class EngineSpec(
    val capacity: Int,
    val aloneSpeed: Double,
    val fullSpeed: Double,
    val cachedPrompts: Int,
) {
    /** Tokens a second of a full batch. */
    val fullRate: Double get() = fullSpeed * capacity
}

/** One request at a replica. [prefillTokens] is the time of the prompt, in tokens of generation. */
class EngineJob(
    val tokens: Int,
    val prompt: Prompt,
    val onFirstToken: () -> Unit,
    val onEnd: () -> Unit,
    val onFailure: (tokensDone: Int) -> Unit,
) {
    internal var startMark = 0.0
    internal var firstMark = 0.0
    internal var endMark = 0.0
    internal var isRunning = false
    internal var hasToken = false
    internal var isOver = false
}

/** A prompt: hashes of its prefixes and the tokens of generation that its prefill takes when nothing is cached. */
class Prompt(
    val prefixes: List<Int>,
    val prefillTokens: Double,
)

/** A replica of one model. */
class FakeEngine(
    val id: ReplicaId,
    val dataCentre: DataCentreId,
    private val spec: EngineSpec,
    private val time: VirtualTime,
) {
    private val marks = PriorityQueue(compareBy<EngineJob> { if (it.hasToken) it.endMark else it.firstMark })
    private val running = LinkedHashSet<EngineJob>()
    private val queued = ArrayDeque<EngineJob>()
    private val cache = LinkedHashMap<Int, Prompt>()
    private var mark = 0.0
    private var markedAt = 0L
    private var schedule = 0L

    /** Speed as a part of the usual one. */
    var pace = 1.0
        set(value) {
            advance()
            field = value
            reschedule()
        }

    /** Whether the replica answers. */
    var isAlive = true
        private set

    /** Requests running and queued. */
    val load: Int get() = running.size + queued.size

    /** Places free; 0 when dead. */
    val free: Int get() = if (isAlive) (spec.capacity - running.size).coerceAtLeast(0) else 0

    /** Tokens that the requests here still have to generate. */
    val remaining: Double
        get() {
            advance()
            return running.sumOf { it.endMark - mark } + queued.sumOf { it.tokens.toDouble() }
        }

    /** Whether the whole of [prompt] is cached. */
    fun caches(prompt: Prompt) = prompt.prefixes.last() in cache

    fun submit(job: EngineJob) {
        if (!isAlive) {
            job.isOver = true
            job.onFailure(0)
            return
        }
        advance()
        queued += job
        admit()
        reschedule()
    }

    fun cancel(job: EngineJob) {
        if (job.isOver) return
        advance()
        remove(job)
        admit()
        reschedule()
    }

    /** All requests here fail, and new ones too until [revive]. */
    fun kill() {
        advance()
        isAlive = false
        val lost = running.toList() + queued
        lost.forEach { remove(it) }
        cache.clear()
        reschedule()
        lost.forEach { it.onFailure(if (it.hasToken) (mark - it.firstMark).toInt().coerceIn(0, it.tokens - 1) else 0) }
    }

    fun revive() {
        isAlive = true
    }

    /** What the replica says of itself now, to arrive later; some cached prompts are missing. */
    fun report(
        random: Random,
        replica: Replica = Replica(id, MODEL, "1", listOf(InstanceId("$id-0")), 1, ReplicaState.SERVING),
    ): ReplicaStatus {
        advance()
        val known = cache.values.filter { random.nextDouble() > CACHE_GAP }.flatMap { it.prefixes }
        return ReplicaStatus(
            replica,
            dataCentre,
            "$id",
            Deadline(time.monotonicMillis() + PRESENCE_MILLIS),
            spec.capacity,
            running.size,
            queued.size,
            time.monotonicMillis(),
            speed().toInt().coerceAtLeast(1),
            known.toHashSet(),
        )
    }

    private fun speed(): Double {
        val slope = (spec.aloneSpeed / spec.fullSpeed - 1) / (spec.capacity - 1)
        return pace * spec.aloneSpeed / (1 + slope * (running.size - 1).coerceAtLeast(0))
    }

    private fun advance() {
        mark += (time.micros - markedAt) / MICROS_PER_SECOND * speed()
        markedAt = time.micros
    }

    private fun admit() {
        while (running.size < spec.capacity && queued.isNotEmpty()) {
            val job = queued.removeFirst()
            val prefill =
                if (caches(
                        job.prompt,
                    )
                ) {
                    job.prompt.prefillTokens * CACHED_PREFILL
                } else {
                    job.prompt.prefillTokens
                }
            remember(job.prompt)
            job.startMark = mark
            job.firstMark = mark + prefill + 1
            job.endMark = mark + prefill + job.tokens
            job.isRunning = true
            running += job
            marks += job
        }
    }

    private fun remember(prompt: Prompt) {
        cache.remove(prompt.prefixes.last())
        cache[prompt.prefixes.last()] = prompt
        if (cache.size > spec.cachedPrompts) cache.remove(cache.keys.first())
    }

    private fun remove(job: EngineJob) {
        job.isOver = true
        if (job.isRunning) {
            running -= job
            marks -= job
        } else {
            queued -= job
        }
    }

    private fun reschedule() {
        schedule += 1
        val next = marks.peek() ?: return
        val expected = schedule
        val due = if (next.hasToken) next.endMark else next.firstMark
        val millis = (due - mark).coerceAtLeast(0.0) / speed() * MILLIS_PER_SECOND + ROUNDING_MILLIS
        time.after(millis) { if (expected == schedule) reachMarks() }
    }

    private fun reachMarks() {
        advance()
        val calls = ArrayList<() -> Unit>()
        while (true) {
            val job = marks.peek() ?: break
            if ((if (job.hasToken) job.endMark else job.firstMark) > mark) break
            marks.poll()
            if (job.hasToken || job.tokens <= 1) {
                marks += job
                remove(job)
                calls += job.onEnd
            } else {
                job.hasToken = true
                marks += job
                calls += job.onFirstToken
            }
        }
        admit()
        reschedule()
        calls.forEach { it() }
    }

    companion object {
        /** The one model of the measurements. */
        const val MODEL = "assistant"
        private const val PRESENCE_MILLIS = 3_000L
        private const val CACHE_GAP = 0.1
        private const val CACHED_PREFILL = 0.2
        private const val MICROS_PER_SECOND = 1_000_000.0
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val ROUNDING_MILLIS = 0.002
    }
}
