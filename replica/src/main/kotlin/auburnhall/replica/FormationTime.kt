/*
 * Expected time until a replica that is formed from given workers takes requests. Designed for fleets that lose members
 * every few seconds: members that have the weights join within two seconds, while a load from the weight store takes
 * ten times as long and binds all other members meanwhile.
 */
package auburnhall.replica

import auburnhall.core.EngineProfile
import auburnhall.core.Model
import auburnhall.core.Worker

/** A way to form a replica of [placement]'s model, and the expected time in milliseconds until it takes requests. */
sealed interface FormationOption {
    val placement: Placement
    val serviceMs: Long

    /** All members have the weights. */
    data class AtOnce(
        override val placement: Placement,
        override val serviceMs: Long,
    ) : FormationOption

    /** The members of [placement] have the weights, and others that load them now complete the replica. */
    data class AfterLoads(
        override val placement: Placement,
        override val serviceMs: Long,
    ) : FormationOption

    /** The members [cold] have to load the weights. */
    data class WithColdMembers(
        override val placement: Placement,
        override val serviceMs: Long,
        val cold: List<Worker>,
    ) : FormationOption
}

/** Estimates formation times for [engine] while [runningLoads] loads from the weight store run. */
class FormationTime(
    private val engine: EngineProfile,
    private val runningLoads: Int,
) {
    /** Time in milliseconds until a replica of [model] is open whose members have its weights at [localities]. */
    fun ofMembers(
        model: Model,
        localities: List<WeightLocality>,
    ): Long {
        val cold = localities.count { !it.isWarm }
        val slowest = localities.maxOfOrNull { joinMs(model, it, cold) } ?: 0
        return slowest + engine.formationMs
    }

    /**
     * Same for a replica that is formed once [model] is loaded by some further members, the last of which takes
     * [longestLoadMs] more, while its other members have the weights at [localities].
     */
    fun afterLoads(
        model: Model,
        localities: List<WeightLocality>,
        longestLoadMs: Long,
    ): Long = longestLoadMs + maxOf(ofMembers(model, localities), REJOIN_MS + engine.formationMs)

    private fun joinMs(
        model: Model,
        locality: WeightLocality,
        cold: Int,
    ): Long =
        when (locality) {
            WeightLocality.LOADED -> REJOIN_MS
            WeightLocality.STAGED -> model.warmLoadMs
            else -> coldLoadMs(model, engine, runningLoads + cold)
        }

    companion object {
        /** Time in which a worker joins a replica of the model that it has loaded. */
        const val REJOIN_MS = 200L

        /** Time to load [model] from the weight store while [concurrent] loads run, this one included. */
        fun coldLoadMs(
            model: Model,
            engine: EngineProfile,
            concurrent: Int,
        ): Long {
            val slowdown = concurrent.toDouble() / engine.coldLoadsAtFullSpeed
            return (model.coldLoadMs * maxOf(1.0, slowdown)).toLong()
        }
    }
}
