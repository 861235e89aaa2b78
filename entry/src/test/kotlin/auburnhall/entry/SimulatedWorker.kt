package auburnhall.entry

/** A worker as its entry in the store shows it. */
internal class SimulatedWorker(
    number: Int,
) {
    val id = "i-$number"
    val key = "servers/$id"
    var draining = false
    var writes = 0L

    /** The value of the entry. */
    fun text() =
        """{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
        "state":"${if (draining) "draining" else "in_service"}","sequence":$writes,"born":77}"""
}
