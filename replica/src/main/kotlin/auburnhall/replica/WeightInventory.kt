/*
 * Which model weights a worker has locally: in its accelerators or on its host.
 */
package auburnhall.replica

import auburnhall.core.MemberState
import auburnhall.core.Model
import auburnhall.core.ReplicaName
import auburnhall.core.Worker

/** Where a worker has the weights of a model, ordered by preference for a replica of that model. */
enum class WeightLocality {
    /** In its accelerators. */
    LOADED,

    /** On its host. */
    STAGED,

    /** Nowhere, and it has no other model either. */
    NONE,

    /** Nowhere, but it has another model. */
    OTHER_MODEL,
    ;

    /** Whether a worker joins a replica of the model without a load from the weight store. */
    val isWarm: Boolean get() = this == LOADED || this == STAGED
}

/** Whether [worker] is a member of a replica of [model], or a spare for it, and has loaded the weights. */
fun isReadyFor(
    worker: Worker,
    model: String,
): Boolean =
    worker.membership?.let { it.state != MemberState.JOINING && ReplicaName.modelOf(it.replica) == model } == true

/** Looks up which of [models] workers have. */
class WeightInventory(
    private val models: List<Model>,
    private val placementContext: PlacementContext,
) {
    /**
     * The model that [worker] has in its accelerators: that of its replica, else that of the last replica that it was
     * ordered to join, else the first that it reports as loaded.
     */
    fun loaded(worker: Worker): String? =
        worker.membership?.replica?.let { ReplicaName.modelOf(it) }
            ?: placementContext.lastModel(worker)
            ?: worker.loadedModels.firstOrNull()

    /** The first of [models] that is on the host of [worker], so that it need not be fetched. */
    fun staged(worker: Worker): Model? = models.firstOrNull { it.name in worker.stagedModels }

    /** Where [worker] has the weights of [model]. */
    fun locality(
        worker: Worker,
        model: Model,
    ): WeightLocality {
        val loaded = loaded(worker)
        return when {
            loaded == model.name -> WeightLocality.LOADED
            model.name in worker.stagedModels -> WeightLocality.STAGED
            loaded == null && staged(worker) == null -> WeightLocality.NONE
            else -> WeightLocality.OTHER_MODEL
        }
    }
}
