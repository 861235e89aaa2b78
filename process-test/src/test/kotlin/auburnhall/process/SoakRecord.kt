/*
 * What the soak sees at its own ends of the connections: the calls at the callers' ends, the runs at the workers' ends,
 * and the faults that it made. Times are nanoseconds of the monotonic clock.
 */
package auburnhall.process

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** What a request is for: its route, and what may be repeated. */
enum class SoakRoute(
    val prefix: String,
    val streaming: Boolean,
) {
    ORDERS("/orders/", false),
    LOOKUPS("/lookups/", false),
    FEEDS("/feeds/", true),

    /** Streams that must not be resumed. */
    NEWS("/news/", true),
    CHAT("/chat/", true),
}

/** How a worker's run ended. */
enum class RunEnd { RUNNING, WHOLE, REFUSED, BROKEN_OFF, STALLED, CALLER_LEFT }

/** How a call ended at its caller. */
enum class CallEnd { WAITING, ANSWERED, CLOSED, RESET, CUT, DEADLINE, GARBLED }

/** A body, told apart from others without keeping it. */
data class Digest(
    val length: Int,
    val hash: Int,
) {
    companion object {
        /** The digest of [text]. */
        fun of(text: String) = Digest(text.length, text.hashCode())
    }
}

/** One request at one worker. */
class SoakRun(
    val id: String,
    val worker: String,
    val afterStray: Boolean = false,
) {
    val beginNanos: Long = System.nanoTime()

    @Volatile
    var status = 0

    @Volatile
    var body: Digest? = null

    /** The number of the last event that was sent. */
    @Volatile
    var lastEvent = 0

    @Volatile
    var end = RunEnd.RUNNING

    @Volatile
    var fault = "sound"

    /** Whether the worker did the work, as opposed to a refusal with Not-Executed. */
    val executed get() = end != RunEnd.REFUSED

    override fun toString() = "$worker[$status $end $fault event=$lastEvent${if (afterStray) " after-stray" else ""}]"
}

/** One request as its caller saw it. */
class SoakCall(
    val id: String,
    val route: SoakRoute,
    val process: SoakProcess,
    val pipelined: Int,
    val slowMs: Long,
) {
    var sentNanos = 0L
    var endNanos = 0L

    /** When its answer could begin at the earliest: sent, and the answer in front of it was read. */
    var turnNanos = 0L
    var status = 0
    var answerId = ""
    var body = ""
    var end = CallEnd.WAITING
    var detail = ""

    /** Whether an earlier call on the same connection ended without an answer, or the reader gave up. */
    var behindBroken = false

    /** Milliseconds from the time that it was sent until it ended. */
    val tookMs get() = TimeUnit.NANOSECONDS.toMillis(endNanos - sentNanos)

    override fun toString() =
        "$route at ${process.label} pipelined=$pipelined slow=$slowMs: $status $end $detail " +
            "after $tookMs ms, ${body.length} bytes${if (behindBroken) ", behind a broken answer" else ""}"
}

/** A fault from outside; [process] is the one that it struck, null for another part. */
class SoakFault(
    val kind: FaultKind,
    val process: SoakProcess?,
    val detail: String,
) {
    val atNanos: Long = System.nanoTime()
}

/** The cold times of the plain workers, and what the settings let a cold worker get in a second. */
object ColdRate {
    const val DURATION_MS = 1_500L
    const val PER_SECOND = 6.0
    const val BOUND = PER_SECOND * 1.5 + 5
}

/** An evacuation of [dataCentre], from the write of its key on. */
class SoakEvacuation(
    val dataCentre: String,
) {
    val fromNanos: Long = System.nanoTime()

    @Volatile
    var untilNanos = Long.MAX_VALUE
}

/** Everything that one day saw. */
class SoakRecord(
    val seed: Int,
) {
    val calls = ConcurrentLinkedQueue<SoakCall>()
    val runs = ConcurrentLinkedQueue<SoakRun>()
    val faults = ConcurrentLinkedQueue<SoakFault>()

    /** Versions of the configuration: when they were written, with the time-out of the plain routes. */
    val timeouts = ConcurrentLinkedQueue<Pair<Long, Long>>()

    /** Times at which the thread of the stand-in workers stood still. */
    val standstills = ConcurrentLinkedQueue<Pair<Long, Long>>()

    /** Lives of plain workers, by id, with the time of their start. */
    val lives = ConcurrentLinkedQueue<Pair<String, Long>>()

    val evacuations = ConcurrentLinkedQueue<SoakEvacuation>()

    /** Times at which the store was in trouble. */
    val storeTroubles = ConcurrentLinkedQueue<Pair<Long, Long>>()

    /** The data centres of the workers, by id. */
    val dataCentres = ConcurrentHashMap<String, String>()

    /** What a worker got that it must not get. */
    val unasked = ConcurrentLinkedQueue<Pair<String, String>>()

    /** Records headers of [request] that a worker must not get, or must get otherwise. */
    fun checkHeaders(request: SoakRequest) {
        val tenant = ScriptedOrders.header(request.head, "tenant")
        val key = ScriptedOrders.header(request.head, "authorization")
        if (tenant != "shop" || key != null) unasked.add(request.id to "tenant $tenant, key $key")
    }

    /** Adds a run of [id] at [worker]. */
    fun begin(
        id: String,
        worker: String,
        afterStray: Boolean = false,
    ) = SoakRun(id, worker, afterStray).also { runs.add(it) }
}
