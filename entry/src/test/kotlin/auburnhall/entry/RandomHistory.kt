package auburnhall.entry

import auburnhall.test.FakeKeyValueStore
import kotlin.random.Random

/** Restores, kills, cuts, writes that are carried out late, and changes, at random moments. */
internal class RandomHistory(
    private val fleet: SimulatedFleet,
    private val random: Random,
) {
    private val copies = ArrayDeque<FakeKeyValueStore.Copy>()
    private val controller get() = fleet.live.firstOrNull { it.leading }

    /** Plays [STEPS] steps of up to a second, with at least two restores; then heals what is cut. */
    fun play() {
        repeat(STEPS) { step ->
            copies.addLast(fleet.store.copy())
            if (copies.size > MAX_COPIES) copies.removeFirst()
            if (step % RESTORE_PERIOD == RESTORE_PERIOD - 1) restore() else act()
            fleet.advance(random.nextLong(20, 1_000))
        }
        fleet.store.holdsWrites = false
        fleet.store.releaseWrites()
        fleet.live.forEach { it.cut = false }
    }

    private fun act() {
        when (random.nextInt(9)) {
            0, 1 -> fleet.writeConfiguration()
            2, 3 -> fleet.writeWorker(random.nextInt(fleet.workerCount))
            4 -> fleet.drainWorker(random.nextInt(fleet.workerCount))
            5 -> fleet.live.random(random).let { it.cut = !it.cut }
            6 -> controller?.let { fleet.kill(it, downMs = random.nextLong(100, 3_000)) }
            7 -> fleet.store.holdsWrites = !fleet.store.holdsWrites
            else -> fleet.store.releaseWrites()
        }
    }

    private fun restore() {
        val doomed = controller.takeIf { random.nextBoolean() }
        fleet.restore(copies.random(random))
        doomed?.let { fleet.kill(it, downMs = random.nextLong(100, 2_000)) }
    }

    private companion object {
        const val STEPS = 20
        const val RESTORE_PERIOD = 7

        /** Restored copies are up to about four seconds old. */
        const val MAX_COPIES = 8
    }
}
