/*
 * What the platform tells about instances. The list lags: an entry says what was true some seconds ago.
 */
package auburnhall.core

import kotlinx.serialization.Serializable

/** What an instance is for. */
enum class InstanceKind {
    /** A member of model replicas. */
    ENGINE,

    /** A plain service. */
    SERVICE,

    /** One of the system's own instances. */
    ENTRY,
}

/** State of an instance in the platform's list. */
enum class ListedState { LIVE, LEAVING }

/**
 * One entry of the platform's list of instances.
 *
 * @property address `ip:port` of the process on the instance.
 * @property accelerators number of accelerators of the instance; 0 for those that are not engines.
 * @property honoursFencing whether the instance refuses an order with an old generation.
 * @property service name of the plain service; null unless [kind] is [InstanceKind.SERVICE].
 */
data class ListedInstance(
    val id: InstanceId,
    val kind: InstanceKind,
    val address: String,
    val dataCentre: DataCentreId,
    val fabricDomain: FabricDomainId?,
    val state: ListedState,
    val accelerators: Int = 0,
    val honoursFencing: Boolean = true,
    val service: String? = null,
)

/** Operators' request that an instance be left alone: drained, and stopped once idle when [stop] is set. */
@Serializable
data class DrainRequest(
    val instance: InstanceId,
    val stop: Boolean,
    val operator: String,
    /** ISO-8601 time of the request. */
    val at: String,
)

/** All drain requests in force; one value of the platform's store. */
@Serializable
data class DrainList(
    val drains: List<DrainRequest> = emptyList(),
)
