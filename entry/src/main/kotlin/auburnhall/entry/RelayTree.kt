/*
 * From which other process each takes the store's changes. Answers the load of many processes on the store: only the
 * controller watches it, and each other process adds one connection between two processes instead of a call to the
 * store for every change.
 */
package auburnhall.entry

/** A tree with the controller at its root, worked out by each process from the names that it knows. */
object RelayTree {
    /** Processes that take changes from one other; two levels below the controller hold 272. */
    const val FAN_OUT = 16

    /**
     * The processes from which [self] may take changes, the one to prefer first; none for [controller] itself.
     * [processes] are all that are known.
     */
    fun parents(
        self: String,
        controller: String,
        processes: Collection<String>,
    ): List<String> {
        val others = (processes.toSet() + self - controller).sorted()
        val index = others.indexOf(self)
        return when {
            index < 0 -> emptyList()
            index < FAN_OUT -> listOf(controller)
            else -> levelAbove(others, index)
        }
    }

    private fun levelAbove(
        others: List<String>,
        index: Int,
    ): List<String> {
        var begin = FAN_OUT
        var size = FAN_OUT * FAN_OUT
        while (index >= begin + size) {
            begin += size
            size *= FAN_OUT
        }
        val count = size / FAN_OUT
        val own = (index - begin) % count
        return (0 until count).map { others[begin - count + (own + it) % count] }
    }
}
