/*
 * The faults from outside that a day makes, and the versions of its configuration.
 */
package auburnhall.process

import auburnhall.standin.StandinPlatform
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** What strikes a process, the store, a worker or the configuration. */
enum class FaultKind {
    HUP,
    TIMEOUTS,
    ROUTES,
    KEYS,
    TERM,
    TERM_TWICE,
    KILL,
    FREEZE,
    STORE,
    ENTRY_REMOVED,
    WORKER_KILLED,
    WORKER_LEAVES,
    WORKER_COLD,
    MEMBER_KILLED,
    MEMBER_CRASHED,
    EVACUATION,
}

/** Makes the faults of [day], which [random] draws. */
class SoakFaults(
    private val day: SoakDay,
    private val random: Random,
) {
    /** Begins one fault; those that last go on beside the day. */
    fun strike() {
        when (val kind = FaultKind.entries.random(random)) {
            FaultKind.HUP -> onProcess(kind) { it.signal("HUP") }
            FaultKind.TIMEOUTS -> onConfiguration(kind) { timeoutMs = random.nextLong(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS) }
            FaultKind.ROUTES -> onConfiguration(kind) { extraRoutes = random.nextInt(EXTRAS) }
            FaultKind.KEYS -> onConfiguration(kind) { extraKeys = random.nextInt(EXTRAS) }
            FaultKind.TERM -> stop(kind, 1)
            FaultKind.TERM_TWICE -> stop(kind, 2)
            FaultKind.KILL -> stop(kind, 1)
            FaultKind.FREEZE -> onProcess(kind, ::freeze)
            FaultKind.STORE -> troubleStore()
            FaultKind.ENTRY_REMOVED, FaultKind.WORKER_KILLED, FaultKind.WORKER_LEAVES -> onWorker(kind)
            FaultKind.WORKER_COLD -> coolWorker()
            FaultKind.MEMBER_KILLED, FaultKind.MEMBER_CRASHED -> onMember(kind)
            FaultKind.EVACUATION -> evacuate()
        }
    }

    private fun note(
        kind: FaultKind,
        process: SoakProcess?,
        detail: String = "",
    ) = day.record.faults.add(SoakFault(kind, process, detail))

    private fun onProcess(
        kind: FaultKind,
        action: (SoakProcess) -> Unit,
    ) {
        val process = day.current().randomOrNull(random) ?: return
        note(kind, process)
        day.beside { action(process) }
    }

    private fun onConfiguration(
        kind: FaultKind,
        change: SoakConfiguration.() -> Unit,
    ) {
        day.configuration.change()
        note(kind, null, "time-out ${day.configuration.timeoutMs}")
        day.configuration.write()
    }

    private fun freeze(process: SoakProcess) {
        process.frozenNanos.add(System.nanoTime())
        process.signal("STOP")
        TimeUnit.MILLISECONDS.sleep(FREEZE_MS)
        process.signal("CONT")
    }

    /** Ends a process and starts it again, [times] times in a row; at least one other goes on. */
    private fun stop(
        kind: FaultKind,
        times: Int,
    ) {
        val candidates = day.current()
        if (candidates.size < 2) return
        val first = candidates.random(random)
        val slot = day.slotOf(first)
        endProcess(kind, first)
        day.beside {
            first.handle.awaitExit()
            day.startProcess(slot)
            repeat(times - 1) {
                val next = day.current().firstOrNull { day.slotOf(it) == slot } ?: return@repeat
                endProcess(kind, next)
                next.handle.awaitExit()
                day.startProcess(slot)
            }
        }
    }

    private fun endProcess(
        kind: FaultKind,
        process: SoakProcess,
    ) {
        note(kind, process)
        process.terminatedNanos = System.nanoTime()
        if (kind == FaultKind.KILL) {
            process.killedNanos = System.nanoTime()
            process.handle.close()
        } else {
            process.handle.terminate()
        }
    }

    private fun troubleStore() {
        if (day.store.mode != StoreMode.SOUND) return
        val mode = StoreMode.entries.filter { it != StoreMode.SOUND }.random(random)
        val durationMs = random.nextLong(STORE_MIN_MS, STORE_MAX_MS)
        note(FaultKind.STORE, null, "$mode for $durationMs ms")
        val fromNanos = System.nanoTime()
        day.store.mode = mode
        day.beside {
            TimeUnit.MILLISECONDS.sleep(durationMs)
            day.store.mode = StoreMode.SOUND
            day.record.storeTroubles.add(fromNanos to System.nanoTime())
        }
    }

    /** Evacuates a data centre for longer than the bound; one at a time, so that the other faults strike requests. */
    private fun evacuate() {
        val dataCentre = StandinPlatform.DATA_CENTRES.random(random)
        val durationMs = random.nextLong(EVACUATION_MIN_MS, EVACUATION_MAX_MS)
        if (day.record.evacuations.any { it.untilNanos == Long.MAX_VALUE }) return
        note(FaultKind.EVACUATION, null, "$dataCentre for $durationMs ms")
        val evacuation = SoakEvacuation(dataCentre)
        day.record.evacuations.add(evacuation)
        day.platform.evacuate(dataCentre)
        day.beside {
            TimeUnit.MILLISECONDS.sleep(durationMs)
            evacuation.untilNanos = System.nanoTime()
            day.platform.endEvacuation(dataCentre)
        }
    }

    private fun onWorker(kind: FaultKind) {
        val index = random.nextInt(day.workers.size)
        val worker = day.workers[index]
        note(kind, null, "worker $index")
        day.beside {
            when (kind) {
                FaultKind.ENTRY_REMOVED -> worker.show(present = false)
                FaultKind.WORKER_KILLED -> worker.kill(ENTRY_MS)
                else -> worker.leave()
            }
            TimeUnit.MILLISECONDS.sleep(WORKER_AWAY_MS)
            if (kind == FaultKind.ENTRY_REMOVED) {
                worker.show(present = true)
            } else {
                worker.kill(0)
                worker.start()
            }
        }
    }

    private fun coolWorker() {
        val index = random.nextInt(day.workers.size)
        note(FaultKind.WORKER_COLD, null, "worker $index")
        day.workers[index].makeCold()
    }

    private fun onMember(kind: FaultKind) {
        val member =
            day.platform.workers
                .filter { it.identity.domain != null }
                .random(random)
        note(kind, null, member.identity.id)
        if (kind == FaultKind.MEMBER_CRASHED) {
            day.platform.scheduler.run { if (member.alive) member.crash() }
            return
        }
        day.platform.kill(member.identity.id)
        day.beside {
            TimeUnit.MILLISECONDS.sleep(MEMBER_AWAY_MS)
            day.platform.restart(member.identity.id)
        }
    }

    private companion object {
        const val MIN_TIMEOUT_MS = 2_000L
        const val MAX_TIMEOUT_MS = 5_000L
        const val EXTRAS = 4
        const val FREEZE_MS = 1_000L
        const val STORE_MIN_MS = 1_000L
        const val STORE_MAX_MS = 5_000L
        const val EVACUATION_MIN_MS = EntryProcessHandle.EVACUATE_MS + 1_000
        const val EVACUATION_MAX_MS = EntryProcessHandle.EVACUATE_MS + 4_000
        const val ENTRY_MS = 1_000L
        const val WORKER_AWAY_MS = 1_200L
        const val MEMBER_AWAY_MS = 2_500L
    }
}

/** The configuration of a day; routes and keys that callers use are in each version. */
class SoakConfiguration(
    private val platform: StandinPlatform,
    private val record: SoakRecord,
) {
    private var version = 0
    var timeoutMs = 3_000L
    var extraRoutes = 0
    var extraKeys = 0

    /** Writes the next version. */
    fun write() {
        val text = text(++version)
        record.timeouts.add(System.nanoTime() to timeoutMs)
        platform.scheduler.run { platform.store.put("op/config", text) }
    }

    private fun text(version: Int): String {
        val extras = (1..extraRoutes).map { route("extra$it", "idempotent", "orders", timeoutMs) }
        val routes =
            listOf(
                route("chat", "streaming", "engine", STREAM_TIMEOUT_MS),
                route("feeds", "streaming", "feeds", STREAM_TIMEOUT_MS),
                route("news", "streaming", "feeds", STREAM_TIMEOUT_MS, resumed = false),
                route("orders", "non_idempotent", "orders", timeoutMs),
                route("lookups", "idempotent", "orders", timeoutMs),
            ) + extras
        val keys = (listOf("demo-key") + (1..extraKeys).map { "key-$it" }).joinToString(",") { "\"$it\"" }
        return """{"version":$version,"routes":[${routes.joinToString(",")}],
            "services":[{"name":"engine","max_connections":100,"engine":{"slots":8,"models":[
             {"name":"assistant","size":2,"share":1.0,"pace":1.0,"load_s":0.1,"warm_s":0.1}],"report_lag_ms":50,
             "loads_per_s":50,"loads_at_once":50,"form_ms":0,"step_ms":1,"stride":1,"read_per_s":100000}},
             ${plainService("orders")},${plainService("feeds")}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
             "idle_timeout_ms":15000},
            "tenants":[{"name":"shop","api_keys":[$keys],"priority":1}]}"""
    }

    private fun plainService(name: String) =
        """{"name":"$name","max_connections":100,"cold_start_s":${ColdRate.DURATION_MS / MS_PER_SECOND},
            "cold_per_s":${ColdRate.PER_SECOND}}"""

    private fun route(
        name: String,
        kind: String,
        service: String,
        timeoutMs: Long,
        resumed: Boolean = kind == "streaming",
    ) = """{"name":"$name","host":"chat.example","prefix":"/$name/","kind":"$kind","timeout_ms":$timeoutMs,
        "target_latency_ms":400,"priority":1,"service":"$service","max_attempts":3,"anonymous":false,
        "stream_resume":$resumed,"gap_target_ms":250}"""

    private companion object {
        const val STREAM_TIMEOUT_MS = 10_000L
        const val MS_PER_SECOND = 1_000.0
    }
}
