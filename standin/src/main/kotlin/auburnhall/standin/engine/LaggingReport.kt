/*
 * Load figures that are reported some time after they were true.
 */
package auburnhall.standin.engine

internal data class EngineLoad(
    val running: Int,
    val queued: Int,
    val prefixes: List<Int>,
)

internal class LaggingReport(
    private val lagMillis: Long,
) {
    private data class Sample(
        val atNanos: Long,
        val load: EngineLoad,
    )

    private val samples = ArrayDeque<Sample>()

    /** Notes [present] and returns the newest figures that are at least the lag old, or the oldest there are. */
    @Synchronized
    fun read(present: EngineLoad): EngineLoad {
        val now = System.nanoTime()
        samples.addLast(Sample(now, present))
        val due = now - lagMillis * NANOS_PER_MILLI
        while (samples.size > 1 && samples[1].atNanos <= due) samples.removeFirst()
        return samples.first().load
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
