/*
 * The evacuations in the store. A store that was restored from an older copy may lack the key of an evacuation, which
 * the operators then write again; until that time has passed, the key counts as present, and nothing as absent.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.StoreItem
import auburnhall.core.StorePosition
import auburnhall.core.StoredEvacuations
import auburnhall.platform.EvacuationCodec

/** Keeps the evacuations that the store holds. Control thread only. */
internal class EvacuationRegistry(
    private val clock: Clock,
    private val source: EvacuationSource,
) {
    private val begun = HashMap<String, StorePosition>()
    private val lacking = HashSet<String>()
    private var era: Long? = null
    private var eraReadAtMs = 0L
    private var absentAt = StoredEvacuations.NONE.absentAt

    /** The evacuations as last published. */
    var stored = StoredEvacuations.NONE
        private set

    /** The key of an evacuation was written. */
    fun onPut(item: StoreItem) {
        val dataCentre = EvacuationCodec.dataCentreOf(item.key) ?: return
        begun[dataCentre] = StorePosition(source.era, item.revision)
        lacking.remove(dataCentre)
    }

    /** The key of an evacuation was removed; one of an earlier era is lacking in a restored store. */
    fun onRemoved(key: String) {
        val dataCentre = EvacuationCodec.dataCentreOf(key) ?: return
        val at = begun[dataCentre] ?: return
        if (at.era == source.era) begun.remove(dataCentre) else lacking.add(dataCentre)
    }

    /** The store was read up to [revision]. */
    fun publish(revision: Long) {
        if (era != source.era) {
            era = source.era
            eraReadAtMs = clock.nowMs()
        }
        settle(revision)
        stored = StoredEvacuations(HashMap(begun), absentAt)
    }

    /** Whether keys that the store lacks now count as removed, so that the state is to be published. */
    fun expire(): Boolean = era != null && absentAt.era != era && isSettled()

    private fun settle(revision: Long) {
        if (!isSettled()) return
        absentAt = StorePosition(source.era, revision)
        lacking.onEach(begun::remove).clear()
    }

    /** Whether the store was read after the operators have written their keys again. */
    private fun isSettled(): Boolean {
        val readAtMs = source.readAtMs ?: return false
        return era == source.era && readAtMs - eraReadAtMs >= REWRITE_GRACE_MS
    }

    private companion object {
        /** The operators' keys are written again about two seconds after a restore. */
        const val REWRITE_GRACE_MS = 2_500L
    }
}

/** Where the evacuations are read from. */
interface EvacuationSource {
    /** The era of the store whose items are passed on. */
    val era: Long

    /** Time, in milliseconds of the monotonic clock, up to which changes of the store are known; null before any. */
    val readAtMs: Long?
}
