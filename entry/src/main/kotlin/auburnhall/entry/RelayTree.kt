/*
 * Determines from which other process each process takes the store's changes. This limits the load of many processes on
 * the store: only the controller watches it, and each further process adds one connection between two processes instead
 * of a request to the store for every change.
 */
package auburnhall.entry

/** A tree with the controller as its root, which each process computes from the names of the processes it knows. */
object RelayTree {
    /** Number of child processes of a process; two levels below the controller hold 272. */
    const val FAN_OUT = 16

    /** Number of levels below the controller, at least 1, in a tree of [processes] processes with the controller. */
    fun levels(processes: Int): Int {
        var levels = 1
        var levelSize = FAN_OUT
        var covered = 1 + levelSize
        while (covered < processes) {
            levels++
            levelSize *= FAN_OUT
            covered += levelSize
        }
        return levels
    }

    /** Level of [self] below [controller], 1 for its children; the arguments are those of [parents]. */
    fun level(
        self: String,
        controller: String,
        processes: Collection<String>,
    ): Int = if (self == controller) 0 else levels(1 + others(self, controller, processes).indexOf(self) + 1)

    /**
     * The processes from which [self] may take changes, in order of preference; none for [controller] itself.
     * [processes] are all known processes, with or without [self].
     */
    fun parents(
        self: String,
        controller: String,
        processes: Collection<String>,
    ): List<String> {
        val others = others(self, controller, processes)
        val index = others.indexOf(self)
        return when {
            index < 0 -> emptyList()
            index < FAN_OUT -> listOf(controller)
            else -> parentLevel(others, index)
        }
    }

    private fun others(
        self: String,
        controller: String,
        processes: Collection<String>,
    ) = (processes.toSet() + self - controller).sorted()

    private fun parentLevel(
        others: List<String>,
        index: Int,
    ): List<String> {
        var levelStart = FAN_OUT
        var levelSize = FAN_OUT * FAN_OUT
        while (index >= levelStart + levelSize) {
            levelStart += levelSize
            levelSize *= FAN_OUT
        }
        val parentCount = levelSize / FAN_OUT
        val preferred = (index - levelStart) % parentCount
        return (0 until parentCount).map { others[levelStart - parentCount + (preferred + it) % parentCount] }
    }
}
