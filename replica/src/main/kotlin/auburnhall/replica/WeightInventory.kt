/*
 * Which weights a worker has at hand: what it holds in its accelerators, and what is on its host.
 */
package auburnhall.replica

import auburnhall.core.Model
import auburnhall.core.ReplicaName
import auburnhall.core.Worker

/** How soon a worker serves a model, the soonest first. */
enum class WeightLocality {
    /** It holds the model. */
    LOADED,

    /** Its host has the model. */
    STAGED,

    /** It has no model at hand. */
    NONE,

    /** It has another model at hand. */
    OTHER_MODEL,
}

/** Looks up what workers have of [models]. */
class WeightInventory(
    private val models: List<Model>,
    private val placementContext: PlacementContext,
) {
    /** The model that [worker] holds, or held in its last replica. */
    fun held(worker: Worker): String? =
        worker.membership?.replica?.let { ReplicaName.modelOf(it) }
            ?: placementContext.lastModel(worker)
            ?: worker.loadedModels.firstOrNull()

    /** A model that is on the host of [worker], so that nothing has to be fetched. */
    fun staged(worker: Worker): Model? = models.firstOrNull { it.name in worker.stagedModels }

    /** How soon [worker] serves [model]. */
    fun locality(
        worker: Worker,
        model: Model,
    ): WeightLocality {
        val held = held(worker)
        return when {
            held == model.name -> WeightLocality.LOADED
            model.name in worker.stagedModels -> WeightLocality.STAGED
            held == null && staged(worker) == null -> WeightLocality.NONE
            else -> WeightLocality.OTHER_MODEL
        }
    }
}
