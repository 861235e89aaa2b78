package auburnhall.config

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ConfigRandomTest {
    @Test
    fun `no history of faults breaks an accepted change`() {
        val first = Integer.getInteger("auburnhall.seed", FIRST_SEED)
        val count = Integer.getInteger("auburnhall.histories", HISTORIES)
        var accepted = 0
        var told = 0
        for (seed in first until first + count) {
            val history = RandomHistory(seed)
            try {
                history.run()
            } catch (e: IllegalStateException) {
                throw AssertionError("seed=$seed after ${history.log}", e)
            }
            accepted += history.accepted
            told += history.told
        }
        println("seed=$first histories=$count changes=$told accepted=$accepted")
        assertTrue(accepted > 0, "no change was ever accepted, so nothing was proved")
    }

    private companion object {
        const val FIRST_SEED = 1
        const val HISTORIES = 20
    }
}
