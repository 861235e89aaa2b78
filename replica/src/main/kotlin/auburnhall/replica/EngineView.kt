/*
 * The engines of one data centre at one moment.
 */
package auburnhall.replica

import auburnhall.core.DataCentreId
import auburnhall.core.FabricDomainId
import auburnhall.core.InstanceId

/**
 * What is known of the engines of a data centre at [nowMillis].
 *
 * @property leaving instances that operators, the platform or the engines themselves want left alone.
 * @property domains the fabric domain of every listed engine; null when the platform names none.
 * @property engineCounts live engines of every data centre.
 * @property maxForming replicas that may load at once.
 */
internal data class EngineView(
    val nowMillis: Long,
    val health: Map<InstanceId, InstanceHealth>,
    val addresses: Map<InstanceId, String>,
    val ignoringFencing: Set<InstanceId>,
    val leaving: Set<InstanceId>,
    val domains: Map<InstanceId, FabricDomainId?>,
    val engineCounts: Map<DataCentreId, Int>,
    val maxForming: Int,
)
