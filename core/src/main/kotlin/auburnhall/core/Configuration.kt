/*
 * The operators' configuration: two lists, stored together as one value so that an edit of either is one
 * compare-and-swap and no process ever combines halves of two versions.
 */
package auburnhall.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The first list: plans with their bounds, and the plan of each customer. */
@Serializable
data class CustomerList(
    val plans: List<Plan> = emptyList(),
    val customers: List<Customer> = emptyList(),
)

/**
 * What a customer on this plan is promised. Rates are over all entry processes together.
 *
 * @property weight share of contended capacity against other customers; at least 1.
 * @property priority passed to engines that honour priorities; 0 is served first.
 * @property firstTokenMillis time from arrival within which the first token is due.
 * @property answerMillis time from arrival within which the whole answer is due.
 */
@Serializable
data class Plan(
    val name: String,
    @SerialName("requests_per_second") val requestsPerSecond: Double,
    @SerialName("tokens_per_second") val tokensPerSecond: Double,
    @SerialName("concurrent_requests") val concurrentRequests: Int,
    val weight: Int = 1,
    val priority: Int = 0,
    @SerialName("first_token_ms") val firstTokenMillis: Long,
    @SerialName("answer_ms") val answerMillis: Long,
)

/** A customer, its plan and the SHA-256 digests (lower-case hexadecimal) of its API keys. */
@Serializable
data class Customer(
    val id: CustomerId,
    val plan: String,
    @SerialName("key_sha256") val keyDigests: List<String>,
)

/** The second list: the models and plain services there are, and which of them each plan may use. */
@Serializable
data class UsageList(
    val models: List<ModelSpec> = emptyList(),
    val services: List<ServiceSpec> = emptyList(),
    val grants: List<Grant> = emptyList(),
)

/**
 * A model and how it is to be placed in every data centre that has instances for it.
 *
 * @property instancesPerReplica number of instances of one replica; at least 1.
 * @property replicas number of replicas wanted over all data centres; 0 means as many as fit.
 * @property spareInstances healthy instances kept unassigned per data centre to heal replicas with.
 * @property crossDomain whether a replica may span fabric domains when no domain has room for a whole one.
 */
@Serializable
data class ModelSpec(
    val name: String,
    val version: String,
    @SerialName("instances_per_replica") val instancesPerReplica: Int,
    val replicas: Int = 0,
    @SerialName("spare_instances") val spareInstances: Int = 0,
    @SerialName("cross_domain") val crossDomain: Boolean = false,
)

/**
 * A plain service behind the system.
 *
 * @property idempotentMethods HTTP methods that may be repeated; any other method needs an `Idempotency-Key`.
 */
@Serializable
data class ServiceSpec(
    val name: String,
    @SerialName("idempotent_methods") val idempotentMethods: List<String> = listOf("GET", "HEAD"),
)

/** What customers on [plan] may use. */
@Serializable
data class Grant(
    val plan: String,
    val models: List<String> = emptyList(),
    val services: List<String> = emptyList(),
)

/** Who changed a list, when, why, and what differed; kept for the audit trail. */
@Serializable
data class ChangeRecord(
    @SerialName("change_id") val changeId: String,
    val version: Long,
    val operator: String,
    /** ISO-8601 time of the change. */
    val at: String,
    /** One line for each difference: field, old value, new value. */
    val differences: List<FieldChange> = emptyList(),
    val note: String = "",
)

/** One difference between two versions of a list. [before] is null for an addition, [after] for a removal. */
@Serializable
data class FieldChange(
    val field: String,
    val before: String?,
    val after: String?,
)

/** The value stored under the configuration key. [version] rises by one with each accepted change. */
@Serializable
data class Configuration(
    val version: Long,
    val customers: CustomerList = CustomerList(),
    val usage: UsageList = UsageList(),
    val change: ChangeRecord,
)
