/*
 * How long requests of one model take, as seen by one process.
 */
package auburnhall.limits

/** Smoothed times of the requests of one model. Not thread-safe. */
internal class Pace {
    private var heldMillis = 0.0
    private var completeMillis = 0.0
    private var completeTokens = 0.0

    /** Mean time from start to first token, in milliseconds; 0 before the first. */
    var firstTokenMillis = 0.0
        private set

    fun onFirstToken(millis: Long) {
        firstTokenMillis = smooth(firstTokenMillis, millis.toDouble())
    }

    /** A request held its place for [millis] and generated [tokens]. */
    fun onEnd(
        millis: Long,
        tokens: Int,
        complete: Boolean,
    ) {
        heldMillis = smooth(heldMillis, millis.toDouble())
        if (!complete) return
        completeMillis = smooth(completeMillis, millis.toDouble())
        completeTokens = smooth(completeTokens, tokens.toDouble())
    }

    /** Expected time for an answer of [tokens], in milliseconds; 0 when nothing was seen yet. */
    fun holdMillis(tokens: Double): Long = (tokens * completeMillis / completeTokens.coerceAtLeast(1.0)).toLong()

    /** Expected time until [turns] of [places] places have become free, in milliseconds. */
    fun millisFor(
        turns: Double,
        places: Double,
    ): Long = (turns * heldMillis / places.coerceAtLeast(LEAST_PLACES)).toLong()

    private fun smooth(
        old: Double,
        new: Double,
    ) = if (old == 0.0) new else old + SMOOTHING * (new - old)

    private companion object {
        const val SMOOTHING = 0.05
        const val LEAST_PLACES = 0.1
    }
}
