/*
 * What replica control works with, and who is told of its steps.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.DataCentreId
import auburnhall.engine.EngineClient
import auburnhall.engine.EngineOrder
import auburnhall.engine.OrderResult
import auburnhall.store.KeyValueStore
import kotlin.random.Random

/**
 * What replica control works with.
 *
 * @property maxForming replicas that may load at once in a data centre, by the weight store's rate.
 */
data class ReplicaEnvironment(
    val store: KeyValueStore,
    val engines: EngineClient,
    val loop: ControlLoop,
    val clock: Clock,
    val random: Random = Random.Default,
    val maxForming: Int = PlacementState.DEFAULT_MAX_FORMING,
)

/** Is told of each step of replica control, on the control thread. */
interface ReplicaEventListener {
    /** This process took control of the table in [term]. */
    fun onControlTaken(
        dataCentre: DataCentreId,
        term: Long,
    ) = Unit

    /** This process no longer controls the table. */
    fun onControlLost(dataCentre: DataCentreId) = Unit

    /** [step] is being written to the table. */
    fun onStep(
        dataCentre: DataCentreId,
        step: PlacementStep,
    ) = Unit

    /** [order] was given to an instance. */
    fun onOrder(
        dataCentre: DataCentreId,
        order: EngineOrder,
        result: OrderResult,
    ) = Unit

    /** A call to the store failed. */
    fun onStoreFailure(
        dataCentre: DataCentreId,
        message: String,
    ) = Unit

    companion object {
        /** Listens to nothing. */
        val NONE = object : ReplicaEventListener {}
    }
}
