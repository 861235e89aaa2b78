/*
 * The evacuations of data centres, as the processes learn them from the store and from each other. A statement about a
 * data centre holds until a newer one of the store is known, so that an evacuation outlasts an outage of the store and
 * a restore from an older copy. The load is small: operators begin or end a few evacuations a day.
 */
package auburnhall.core

/** What the store said about [dataCentre] at the position [at]. */
data class EvacuationStatement(
    val dataCentre: String,
    /** Whether nothing may be sent to workers there; false when the evacuation was removed. */
    val evacuated: Boolean,
    val at: StorePosition,
)

/** The evacuations that the store held when it was read. */
data class StoredEvacuations(
    /** The position at which each was written, by data centre. */
    val begun: Map<String, StorePosition>,
    /** Position at which no other data centre was evacuated. */
    val absentAt: StorePosition,
) {
    companion object {
        val NONE = StoredEvacuations(emptyMap(), StorePosition(0, 0))
    }
}

/** The newest known statement about each data centre. Immutable. */
class Evacuations private constructor(
    private val newest: Map<String, EvacuationStatement>,
) {
    /** The data centres that are evacuated. */
    val dataCentres: Set<String> = newest.values.filter { it.evacuated }.mapTo(HashSet()) { it.dataCentre }

    /** All statements, also about evacuations that have ended. */
    val statements: Collection<EvacuationStatement> get() = newest.values

    /** These with [others], where the newer statement about a data centre holds. */
    fun with(others: Collection<EvacuationStatement>): Evacuations {
        val newer = others.filter { other -> newest[other.dataCentre]?.let { it.at < other.at } ?: true }
        if (newer.isEmpty()) return this
        val byDataCentre = newer.groupBy { it.dataCentre }.mapValues { (_, same) -> same.maxBy { it.at } }
        return Evacuations(newest + byDataCentre)
    }

    /** These with what the store held; an evacuation that it lacked at a later position has ended. */
    fun with(read: StoredEvacuations): Evacuations {
        val begun = read.begun.map { (dataCentre, at) -> EvacuationStatement(dataCentre, true, at) }
        val ended =
            dataCentres
                .filter { it !in read.begun }
                .map { EvacuationStatement(it, false, read.absentAt) }
        return with(begun + ended)
    }

    override fun equals(other: Any?) = other is Evacuations && newest == other.newest

    override fun hashCode() = newest.hashCode()

    override fun toString() = newest.values.toString()

    companion object {
        val NONE = Evacuations(emptyMap())
    }
}
