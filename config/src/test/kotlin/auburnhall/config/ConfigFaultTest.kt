package auburnhall.config

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ConfigFaultTest {
    private val fleet = ConfigFleet(Random(SEED).also { println("seed=$SEED") })

    @Test
    fun `a first change is in force everywhere at once`() {
        startFleet(3)
        assertEquals(listOf<Long?>(1, 1, 1), served())
    }

    @Test
    fun `an accepted change is in force everywhere`() {
        startFleet(3)
        assertInstanceOf(ApplyResult.Accepted::class.java, apply(0, 1))
        assertEquals(listOf<Long?>(2, 2, 2), served())
    }

    @Test
    fun `serving goes on while the store is down for an hour`() {
        startFleet(3)
        fleet.storeDown = true
        fleet.onStep = { assertEquals(listOf<Long?>(1, 1, 1), served()) }
        fleet.advance(HOUR_MILLIS)
    }

    @Test
    fun `a process cut off from everything stops serving in time for a change to be accepted`() {
        startFleet(3)
        fleet.nodes[2].isCutFromStore = true
        fleet.nodes[2].isCutFromPeers = true
        assertInstanceOf(ApplyResult.Accepted::class.java, apply(0, 1))
        assertNull(fleet.nodes[2].served())
    }

    @Test
    fun `a majority cut off from the store serves on and no change is accepted against it`() {
        startFleet(5)
        cutOff(3)
        assertEquals(listOf<Long?>(1, 1, 1), served().take(3))
        assertInstanceOf(ApplyResult.Pending::class.java, apply(4, 1))
        assertEquals(listOf<Long?>(1, 1, 1), served().take(3))
    }

    @Test
    fun `a minority cut off from the store stops serving and a change is accepted without it`() {
        startFleet(5)
        cutOff(2)
        assertEquals(listOf<Long?>(null, null), served().take(2))
        assertInstanceOf(ApplyResult.Accepted::class.java, apply(4, 1))
        assertEquals(listOf<Long?>(null, null, 2, 2, 2), served())
    }

    /** Puts the first [count] processes on a side of their own that does not reach the store. */
    private fun cutOff(count: Int) {
        fleet.nodes.take(count).forEach {
            it.side = 1
            it.isCutFromStore = true
            it.client.holdEvents = true
        }
        fleet.advance(MINUTE_MILLIS)
    }

    private fun startFleet(size: Int) {
        repeat(size) { fleet.start() }
        fleet.advance(SETTLE_MILLIS)
        assertInstanceOf(ApplyResult.Accepted::class.java, apply(0, 0))
        fleet.advance(SETTLE_MILLIS)
    }

    private fun served() = fleet.nodes.map { it.served() }

    private fun apply(
        node: Int,
        expected: Long,
    ): ApplyResult {
        val id = "change-$node-$expected"
        val command = ApplyCommand("ana", id, expected, "", ListFiles("{}", "{}"))
        return fleet.nodes[node]
            .operators
            .apply(command)
            .also { fleet.history.told(id, it) }
    }

    private companion object {
        const val SEED = 4L
        const val SETTLE_MILLIS = 15_000L
        const val MINUTE_MILLIS = 60_000L
        const val HOUR_MILLIS = 3_600_000L
    }
}
