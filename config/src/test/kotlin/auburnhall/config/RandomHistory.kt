/*
 * A random history of faults, starts, deaths and operators' changes.
 */
package auburnhall.config

import auburnhall.test.StoreFault
import kotlin.random.Random

/** The history of one [seed]. Throws [IllegalStateException] when something that must always hold does not. */
internal class RandomHistory(
    seed: Int,
) {
    private val random = Random(seed)
    private val fleet = ConfigFleet(random)
    private val alive get() = fleet.nodes.filter { !it.isDead }
    private var applying = 0
    private var changes = 0
    private var version = 0L
    private var eventsLeft = EVENTS

    /** What happened, for the message of a failure. */
    val log = ArrayList<String>()

    /** Number of changes accepted. */
    val accepted: Int get() = fleet.history.acceptedCount

    /** Number of changes asked for. */
    val told: Int get() = changes

    /** Runs the history, heals everything, and checks that every process then serves under the newest version. */
    fun run() {
        repeat(random.nextInt(1, MAX_NODES)) { fleet.start() }
        fleet.advance(SETTLE_MILLIS)
        apply(fleet.nodes.first())
        fleet.onStep = { if (random.nextInt(STEPS_PER_EVENT) == 0) event() }
        while (eventsLeft > 0) fleet.advance(ConfigFleet.STEP_MILLIS)
        fleet.onStep = {}
        heal()
        fleet.advance(HEAL_MILLIS)
        check(alive.map { it.served() }.distinct().size == 1) { "serving ${alive.map { it.served() }} after healing" }
        check(alive.first().served() != null) { "nobody serves after healing" }
        val newest = fleet.history.storedVersion()
        val last = apply(alive.random(random), newest)
        check(last is ApplyResult.Accepted) { "a change after healing was not accepted: $last" }
        fleet.history.checkTrail()
    }

    private fun event() {
        if (eventsLeft == 0) return heal()
        eventsLeft -= 1
        val node = alive.random(random)
        val kind = random.nextInt(EVENT_KINDS)
        if (kind < CUT_KINDS) cut(kind, node) else disturb(kind, node)
    }

    private fun cut(
        kind: Int,
        node: ConfigFleet.Node,
    ) {
        when (kind) {
            0 -> node.isPaused = note("pause", node, !node.isPaused)
            1 -> node.isCutFromStore = note("cut from store", node, !node.isCutFromStore)
            2 -> node.isCutFromPeers = note("cut from peers", node, !node.isCutFromPeers)
            else -> fleet.storeDown = note("store down", node, !fleet.storeDown)
        }
    }

    private fun disturb(
        kind: Int,
        node: ConfigFleet.Node,
    ) {
        when (kind) {
            4 -> node.client.holdEvents = note("hold events", node, true)
            5 -> node.client.releaseEvents()
            6 -> node.delayMillis = note("delay", node, random.nextLong(MAX_DELAY_MILLIS))
            7 -> node.storeFault = { if (random.nextInt(LOSS) == 0) StoreFault.LOST_ANSWER else StoreFault.NONE }
            8 -> if (alive.size < MAX_NODES) fleet.start("p${fleet.nodes.size}").also { note("start", it, true) }
            9 -> if (random.nextInt(2) == 0) die(node)
            else -> if (applying < MAX_APPLYING) apply(node)
        }
    }

    /** A process that dies stays registered until the platform's list has not shown its instance for some time. */
    private fun die(node: ConfigFleet.Node) {
        if (alive.size <= 1 || node.isApplying) return
        note("die", node, true)
        node.isDead = true
        if (random.nextBoolean()) fleet.unregister(node)
    }

    /** The operator's idea of the version is now and then out of date. */
    private fun staleVersion() = if (random.nextInt(STALE_EDIT) == 0) maxOf(version - 1, 0) else version

    private fun apply(
        node: ConfigFleet.Node,
        expected: Long = staleVersion(),
    ): ApplyResult {
        changes += 1
        val id = "c$changes"
        note("apply $id from $expected", node, true)
        applying += 1
        node.isApplying = true
        val result = node.operators.apply(ApplyCommand("ana", id, expected, "", ListFiles("{}", "{}")))
        node.isApplying = false
        applying -= 1
        fleet.history.told(id, result)
        note("$id: $result", node, true)
        version = maxOf(version, knownVersion(result, expected))
        return result
    }

    private fun knownVersion(
        result: ApplyResult,
        expected: Long,
    ): Long =
        when (result) {
            is ApplyResult.Accepted -> result.version
            is ApplyResult.Pending -> result.version
            is ApplyResult.Conflict -> result.version
            else -> expected
        }

    private fun heal() {
        fleet.storeDown = false
        alive.forEach {
            it.isPaused = false
            it.isCutFromStore = false
            it.isCutFromPeers = false
            it.delayMillis = 0
            it.storeFault = { StoreFault.NONE }
            it.client.releaseEvents()
        }
        fleet.nodes.filter { it.isDead }.forEach { fleet.unregister(it) }
    }

    private fun <T> note(
        event: String,
        node: ConfigFleet.Node,
        value: T,
    ): T {
        log += "${fleet.clock.monotonicMillis()} ${node.self.process} $event $value"
        return value
    }

    private companion object {
        const val MAX_NODES = 6
        const val EVENTS = 60

        /** Kinds below this cut something off or pause it. */
        const val CUT_KINDS = 4
        const val EVENT_KINDS = 14
        const val STEPS_PER_EVENT = 20
        const val MAX_APPLYING = 2
        const val MAX_DELAY_MILLIS = 3_000L
        const val LOSS = 3
        const val STALE_EDIT = 6
        const val SETTLE_MILLIS = 15_000L
        const val HEAL_MILLIS = 60_000L
    }
}
