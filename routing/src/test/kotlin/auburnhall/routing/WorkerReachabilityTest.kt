package auburnhall.routing

import auburnhall.core.Address
import auburnhall.core.EventListener
import auburnhall.test.FakeScheduler
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class WorkerReachabilityTest {
    private val time = FakeScheduler()
    private val reachability = WorkerReachability(time, time, EventListener.NONE)

    private fun tryWorkers(count: Int) = repeat(count) { reachability.onTried(Address("10.0.0.$it", 80)) }

    @Test
    fun `a process that hears nothing from three workers is isolated until it hears from one`() {
        tryWorkers(3)
        assertFalse(reachability.isolated)
        time.advance(800)
        assertTrue(reachability.isolated)
        reachability.onHeard()
        assertFalse(reachability.isolated)
    }

    @Test
    fun `a process that fails to connect to three workers is isolated at once`() {
        repeat(3) {
            assertFalse(reachability.isolated)
            reachability.onConnectFailed(Address("10.0.0.$it", 80))
        }
        assertTrue(reachability.isolated)
    }

    /** Guards against taking requests away from workers that are slow all together. */
    @Test
    fun `a process is not isolated if its workers are silent but accept connections`() {
        reachability.onSilence = { time.after(5) { reachability.onHeard() } }
        repeat(10) {
            tryWorkers(3)
            time.advance(1_000)
            assertFalse(reachability.isolated)
        }
    }

    /** Guards against taking one silent worker, or slow first events, for a lost link. */
    @Test
    fun `what is heard from one worker shows that the others could be reached`() {
        repeat(20) {
            tryWorkers(5)
            time.advance(450)
            reachability.onHeard()
        }
        repeat(20) { reachability.onConnectFailed(Address("10.0.0.1", 80)) }
        time.advance(5_000)
        assertFalse(reachability.isolated)
    }
}
