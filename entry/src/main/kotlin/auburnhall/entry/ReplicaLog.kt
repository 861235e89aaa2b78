/*
 * Log lines of what the replica controllers do.
 */
package auburnhall.entry

import auburnhall.core.DataCentreId
import auburnhall.engine.EngineOrder
import auburnhall.engine.OrderResult
import auburnhall.replica.PlacementStep
import auburnhall.replica.ReplicaEventListener
import org.tinylog.kotlin.Logger

internal object ReplicaLog : ReplicaEventListener {
    override fun onControlTaken(
        dataCentre: DataCentreId,
        term: Long,
    ) = Logger.info("step=FORM data_centre={} control taken term={}", dataCentre, term)

    override fun onControlLost(dataCentre: DataCentreId) =
        Logger.info("step=FORM data_centre={} control lost", dataCentre)

    override fun onStep(
        dataCentre: DataCentreId,
        step: PlacementStep,
    ) = Logger.info("step=FORM data_centre={} {}", dataCentre, step)

    override fun onOrder(
        dataCentre: DataCentreId,
        order: EngineOrder,
        result: OrderResult,
    ) = Logger.debug("step=LOAD data_centre={} order={} result={}", dataCentre, order, result)

    override fun onStoreFailure(
        dataCentre: DataCentreId,
        message: String,
    ) = Logger.warn("step=FORM data_centre={} peer=store {}", dataCentre, message)
}
