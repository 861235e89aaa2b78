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

/** How fast a replica is: tokens a second of one request alone, [aloneSpeed], and in a full batch, [fullSpeed]. */
data class EngineSpec(
    val capacity: Int,
    val aloneSpeed: Double,
    val fullSpeed: Double,
    val cachedPrompts: Int,
) {
    /** Tokens a second of a full batch. */
    val fullRate: Double get() = fullSpeed * capacity

    /** Tokens a second of one request in a batch of [batch]. */
    fun speed(batch: Int): Double {
        val slope = (aloneSpeed / fullSpeed - 1) / (capacity - 1)
        return aloneSpeed / (1 + slope * (batch - 1).coerceAtLeast(0))
    }
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

    /** What the job reaches next: its first token or its end. */
    internal val nextMark get() = if (hasToken) endMark else firstMark
}

/** A prompt: hashes of its prefixes and the tokens of generation that its prefill takes when nothing is cached. */
class Prompt(
    val prefixes: List<Int>,
    val prefillTokens: Double,
)

/** The prompts that a replica has cached, oldest first. */
private class PromptCache(
    private val most: Int,
) {
    private val prompts = LinkedHashMap<Int, Prompt>()

    fun prefill(prompt: Prompt) = prompt.prefillTokens * if (prompt.prefixes.last() in prompts) CACHED_PREFILL else 1.0

    fun add(prompt: Prompt) {
        prompts.remove(prompt.prefixes.last())
        prompts[prompt.prefixes.last()] = prompt
        if (prompts.size > most) prompts.remove(prompts.keys.first())
    }

    fun clear() = prompts.clear()

    fun report(random: Random) =
        prompts.values
            .filter { random.nextDouble() > CACHE_GAP }
            .flatMap { it.prefixes }
            .toHashSet()

    private companion object {
        const val CACHE_GAP = 0.1
        const val CACHED_PREFILL = 0.2
    }
}

/** A replica of one model. */
class FakeEngine(
    val id: ReplicaId,
    val dataCentre: DataCentreId,
    private val spec: EngineSpec,
    private val time: VirtualTime,
) {
    private val marks = PriorityQueue(compareBy<EngineJob> { it.nextMark })
    private val running = LinkedHashSet<EngineJob>()
    private val queued = ArrayDeque<EngineJob>()
    private val cache = PromptCache(spec.cachedPrompts)
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

    private val speed get() = pace * spec.speed(running.size)

    /** Whether the replica answers. */
    var isAlive = true
        private set

    /** Requests running and queued. */
    val load: Int get() = running.size + queued.size

    /** Places free; 0 when dead. */
    val free: Int get() = if (isAlive) (spec.capacity - running.size).coerceAtLeast(0) else 0

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
        return ReplicaStatus(
            replica,
            dataCentre,
            "$id",
            Deadline(time.monotonicMillis() + PRESENCE_MILLIS),
            spec.capacity,
            running.size,
            queued.size,
            time.monotonicMillis(),
            speed.toInt().coerceAtLeast(1),
            cache.report(random),
        )
    }

    private fun advance() {
        mark += (time.micros - markedAt) / MICROS_PER_SECOND * speed
        markedAt = time.micros
    }

    private fun admit() {
        while (running.size < spec.capacity && queued.isNotEmpty()) {
            val job = queued.removeFirst()
            val prefill = cache.prefill(job.prompt)
            cache.add(job.prompt)
            job.startMark = mark
            job.firstMark = mark + prefill + 1
            job.endMark = mark + prefill + job.tokens
            job.isRunning = true
            running += job
            marks += job
        }
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
        val millis = (next.nextMark - mark).coerceAtLeast(0.0) / speed * MILLIS_PER_SECOND + ROUNDING_MILLIS
        time.after(millis) { if (expected == schedule) reachMarks() }
    }

    private fun reachMarks() {
        advance()
        val calls = ArrayList<() -> Unit>()
        while (marks.isNotEmpty() && marks.peek().nextMark <= mark) {
            val job = marks.poll()
            val isEnd = job.hasToken || job.tokens <= 1
            job.hasToken = true
            marks += job
            if (isEnd) remove(job)
            calls += if (isEnd) job.onEnd else job.onFirstToken
        }
        admit()
        reschedule()
        calls.forEach { it() }
    }

    companion object {
        /** The one model of the measurements. */
        const val MODEL = "assistant"
        private const val PRESENCE_MILLIS = 3_000L
        private const val MICROS_PER_SECOND = 1_000_000.0
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val ROUNDING_MILLIS = 0.002
    }
}
