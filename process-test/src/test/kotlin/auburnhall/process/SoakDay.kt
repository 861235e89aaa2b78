/*
 * One day of the soak: the stand-in platform, faulty workers, several entry processes, callers, and faults that a seed
 * draws. It only plays; SoakChecker judges.
 */
package auburnhall.process

import auburnhall.standin.StandinPlatform
import auburnhall.standin.StreamScript
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** One life of an entry process, and what the day did to it. */
class SoakProcess(
    val label: String,
    val handle: EntryProcessHandle,
) {
    @Volatile
    var killedNanos = Long.MAX_VALUE

    @Volatile
    var terminatedNanos = Long.MAX_VALUE

    /** Begins of the times that it stood still. */
    val frozenNanos = CopyOnWriteArrayList<Long>()

    /** Sends [signal]; the name is that of kill(1). */
    fun signal(signal: String) {
        if (handle.alive) ProcessBuilder("kill", "-$signal", "${handle.pid}").start().waitFor()
    }
}

/** Plays seed [seed] for [seconds] with logs in [dir]. */
class SoakDay(
    seed: Int,
    private val seconds: Long,
    private val dir: Path,
) : AutoCloseable {
    val record = SoakRecord(seed)
    val platform = StandinPlatform()
    val store = StoreProxy(platform.storePort)
    val configuration = SoakConfiguration(platform, record)
    private val random = Random(seed)
    private val shape = SoakShape.entries[seed % SoakShape.entries.size]
    val workers =
        listOf("orders", "feeds").flatMap { service ->
            (1..WORKERS).map { number ->
                val dataCentre = StandinPlatform.DATA_CENTRES[number % StandinPlatform.DATA_CENTRES.size]
                FaultyWorker(platform, record, service, "$service$number", shape.faultShare, dataCentre)
            }
        }
    private val slots = arrayOfNulls<SoakProcess>(MIN_PROCESSES + seed % (MAX_PROCESSES - MIN_PROCESSES + 1))
    private val generations = IntArray(slots.size)
    private val peerPort = EntryProcessHandle.freePort()
    private val threads = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
    private val pending = CopyOnWriteArrayList<Future<*>>()
    private val all = CopyOnWriteArrayList<SoakProcess>()

    /** The processes that take new connections. */
    fun current(): List<SoakProcess> =
        synchronized(slots) { slots.filterNotNull() }.filter { it.terminatedNanos == Long.MAX_VALUE }

    /** Runs [action] beside the day; the day waits for it at its end. */
    fun beside(action: () -> Unit) {
        pending.add(threads.submit { runCatching(action).onFailure { it.printStackTrace() } })
    }

    /** Plays the whole day. */
    fun play(): SoakRecord {
        platform.streamScript = SoakStreams(record, shape.faultShare)
        platform.workers.forEach { record.dataCentres[it.identity.id] = it.identity.dataCentre }
        configuration.write()
        platform.scheduler.run { platform.store.remove("servers/i-orders") }
        workers.forEach { it.start() }
        slots.indices.map { threads.submit { startProcess(it) } }.forEach { it.get() }
        awaitReplicas()
        val untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds)
        val callers = (1..CALLERS).map { SoakCaller(record, it, ::current) }
        val running = callers.map { threads.submit { it.run(untilNanos) } }
        watchStandin(untilNanos)
        val faults = SoakFaults(this, random)
        while (System.nanoTime() < untilNanos) {
            TimeUnit.MILLISECONDS.sleep(random.nextLong(shape.minPauseMs, shape.minPauseMs * PAUSE_SPREAD))
            if (System.nanoTime() < untilNanos) faults.strike()
        }
        running.forEach { it.get() }
        pending.forEach { it.get() }
        return record
    }

    /** Records when the thread of all stand-in workers stood still: what it did then is no fault of the product. */
    private fun watchStandin(untilNanos: Long) {
        threads.submit {
            while (System.nanoTime() < untilNanos + AFTERMATH_NANOS) {
                val askedNanos = System.nanoTime()
                val answered = CountDownLatch(1)
                platform.scheduler.run { answered.countDown() }
                answered.await()
                val now = System.nanoTime()
                if (now - askedNanos > STANDSTILL_NANOS) record.standstills.add(askedNanos to now)
                TimeUnit.MILLISECONDS.sleep(POLL_MS)
            }
        }
    }

    /** Waits until the process that is the controller has opened replicas. */
    private fun awaitReplicas() {
        val untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(OPENED_WITHIN_S)
        while (all.none { "replica.opened" in Files.readString(it.handle.logFile) }) {
            check(System.nanoTime() < untilNanos) { "no replica was opened" }
            TimeUnit.MILLISECONDS.sleep(POLL_MS)
        }
    }

    /** Starts the process of slot [index]; the one before has ended. */
    fun startProcess(index: Int) {
        val generation = ++generations[index]
        val label = "p${index + 1}-g$generation"
        val home = Files.createDirectories(dir.resolve(label))
        val handle = EntryProcessHandle("p${index + 1}", store.port, home, "127.0.0.${index + 1}", peerPort)
        val started = SoakProcess(label, handle)
        all.add(started)
        handle.awaitReady()
        synchronized(slots) { slots[index] = started }
    }

    /** The number of the slot of [process]. */
    fun slotOf(process: SoakProcess): Int = synchronized(slots) { slots.indexOf(process) }

    override fun close() {
        all.forEach { it.handle.close() }
        workers.forEach { it.close() }
        store.close()
        threads.shutdownNow()
    }

    private companion object {
        const val WORKERS = 3
        const val MIN_PROCESSES = 3
        const val MAX_PROCESSES = 5
        const val CALLERS = 24
        const val OPENED_WITHIN_S = 30L
        const val POLL_MS = 50L
        val STANDSTILL_NANOS = TimeUnit.MILLISECONDS.toNanos(200)
        val AFTERMATH_NANOS = TimeUnit.SECONDS.toNanos(10)
        const val PAUSE_SPREAD = 4L
    }
}

/** Kinds of days: how many of the workers' answers are not sound, and the least pause between faults. */
enum class SoakShape(
    val faultShare: Double,
    val minPauseMs: Long,
) {
    MIXED(0.15, 200),
    SOUND_WORKERS(0.0, 200),
    BAD_WORKERS(0.35, 1_000),
}

/** Streams of replicas that carry the ids of their requests; [faultShare] of the runs break off inside an event. */
private class SoakStreams(
    private val record: SoakRecord,
    private val faultShare: Double,
) : StreamScript() {
    private val open = ConcurrentHashMap<String, SoakRun>()

    override fun begin(
        request: String,
        worker: String,
        first: Int,
    ) {
        val run = record.begin(request, worker)
        run.status = OK
        run.lastEvent = first - 1
        if (first > LAST_EVENT) run.end = RunEnd.WHOLE
        open["$request@$worker"] = run
    }

    override fun data(
        request: String,
        worker: String,
        number: Int,
    ): String? {
        val run = open.getValue("$request@$worker")
        val random = Random(record.seed + request.hashCode() + worker.hashCode())
        val cutAt = if (random.nextDouble() < faultShare) random.nextInt(1, LAST_EVENT) else 0
        if (number == cutAt) {
            run.end = RunEnd.BROKEN_OFF
            return null
        }
        run.lastEvent = number
        if (number == LAST_EVENT) run.end = RunEnd.WHOLE
        return "$request/$number"
    }

    override fun broken(
        request: String,
        worker: String,
    ) {
        open.getValue("$request@$worker").end = RunEnd.BROKEN_OFF
    }

    private companion object {
        const val OK = 200
        const val LAST_EVENT = 40
    }
}
