/*
 * Determines from which other process each process takes the store's changes. This limits the load of many processes on
 * the store: only the controller watches it, and each further process adds one connection between two processes instead
 * of a request to the store for every change. It also limits the traffic between data centres, which has a price: one
 * process of each data centre takes the changes from the controller, the others from processes of their own.
 */
package auburnhall.entry

/**
 * A tree with [controller] as its root, which each process computes from the processes that it knows. [dataCentres]
 * holds the data centre of each of them by name, of the process that computes it as well.
 */
class RelayTree(
    val controller: String,
    val dataCentres: Map<String, String>,
) {
    private val members: Map<String, List<String>> =
        (dataCentres.keys - controller).groupBy { dataCentres.getValue(it) }.mapValues { it.value.sorted() }

    /** Number of levels below the controller, at least 1. */
    val levels: Int = maxOf(1, members.maxOfOrNull { (place, names) -> depth(place, names.lastIndex) } ?: 1)

    /** Level of [self] below the controller, 1 for its children, 0 for the controller. */
    fun level(self: String): Int {
        val place = dataCentres[self]
        return if (self == controller || place == null) 0 else depth(place, members.getValue(place).indexOf(self))
    }

    /** The processes from which [self] may take changes, in order of preference; none for the controller. */
    fun parents(self: String): List<String> {
        val place = dataCentres[self]
        if (self == controller || place == null) return emptyList()
        val names = members.getValue(place)
        val index = names.indexOf(self)
        val first = firstOfLocalTree(place)
        return when {
            index < first -> listOf(controller)
            index < first + FAN_OUT -> names.take(minOf(index, first * SUBSTITUTES)) + controller
            else -> parentLevel(names.drop(first), index - first)
        }
    }

    /** Number of processes that take changes from the controller before the tree of [place] begins. */
    private fun firstOfLocalTree(place: String) = if (place == dataCentres[controller]) 0 else 1

    private fun depth(
        place: String,
        index: Int,
    ): Int {
        val first = firstOfLocalTree(place)
        return if (index < first) 1 else first + levelOf(index - first)
    }

    private fun parentLevel(
        names: List<String>,
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
        return (0 until parentCount).map { names[levelStart - parentCount + (preferred + it) % parentCount] }
    }

    companion object {
        /** Number of child processes of a process; two levels below it hold 272. */
        const val FAN_OUT = 16

        /**
         * Number of processes of another data centre, the first included, that its processes ask before they ask the
         * controller: when the first is lost, the second takes its place.
         */
        private const val SUBSTITUTES = 3

        /** Level, from 1, of the process [index] of a tree in which each process has [FAN_OUT] children. */
        private fun levelOf(index: Int): Int {
            var level = 1
            var levelSize = FAN_OUT
            var covered = levelSize
            while (covered <= index) {
                level++
                levelSize *= FAN_OUT
                covered += levelSize
            }
            return level
        }
    }
}
