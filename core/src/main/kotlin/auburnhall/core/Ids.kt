/*
 * Identifiers. Each is a wrapper around the string that appears in settings, in the platform's store and in logs, so
 * that one kind of identifier is never passed where another is expected.
 */
package auburnhall.core

import kotlinx.serialization.Serializable

/** A customer of the operators, as named in the list of customers. */
@JvmInline
@Serializable
value class CustomerId(
    val value: String,
) : Comparable<CustomerId> {
    override fun compareTo(other: CustomerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A machine on the platform that is a member of replicas or runs a plain service. */
@JvmInline
@Serializable
value class InstanceId(
    val value: String,
) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A data centre of the platform. */
@JvmInline
@Serializable
value class DataCentreId(
    val value: String,
) : Comparable<DataCentreId> {
    override fun compareTo(other: DataCentreId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A group of instances of one data centre that share a fast interconnect. */
@JvmInline
@Serializable
value class FabricDomainId(
    val value: String,
) : Comparable<FabricDomainId> {
    override fun compareTo(other: FabricDomainId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A group of instances that serve one copy of a model together. Never used again once dissolved. */
@JvmInline
@Serializable
value class ReplicaId(
    val value: String,
) : Comparable<ReplicaId> {
    override fun compareTo(other: ReplicaId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** One run of an entry process; a restarted process has another identifier. */
@JvmInline
@Serializable
value class ProcessId(
    val value: String,
) : Comparable<ProcessId> {
    override fun compareTo(other: ProcessId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** One request of a caller, as returned in the `X-Request-Id` header. */
@JvmInline
@Serializable
value class RequestId(
    val value: String,
) {
    override fun toString(): String = value
}
