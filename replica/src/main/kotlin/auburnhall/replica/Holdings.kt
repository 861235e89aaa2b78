/*
 * Which weights a worker has at hand: what it holds in its accelerators, and what is on its host.
 */
package auburnhall.replica

import auburnhall.core.Model
import auburnhall.core.ReplicaName
import auburnhall.core.Worker

/** How soon a worker serves a model, the soonest first. */
enum class Warmth {
    /** It holds the model. */
    LOADED,

    /** Its host has the model. */
    STAGED,

    /** It has no model at hand. */
    COLD,

    /** It has another model at hand. */
    OTHER,
}

/** Looks up what workers have of [models]. */
class Holdings(
    private val models: List<Model>,
    private val facts: PlacementFacts,
) {
    /** The model that [worker] holds, or held in its last replica. */
    fun held(worker: Worker): String? =
        worker.membership?.replica?.let { ReplicaName.modelOf(it) }
            ?: facts.lastModel(worker)
            ?: worker.loadedModels.firstOrNull()

    /** A model that is on the host of [worker], so that nothing has to be fetched. */
    fun staged(worker: Worker): Model? = models.firstOrNull { it.name in worker.stagedModels }

    /** How soon [worker] serves [model]. */
    fun warmth(
        worker: Worker,
        model: Model,
    ): Warmth {
        val held = held(worker)
        return when {
            held == model.name -> Warmth.LOADED
            model.name in worker.stagedModels -> Warmth.STAGED
            held == null && staged(worker) == null -> Warmth.COLD
            else -> Warmth.OTHER
        }
    }
}
