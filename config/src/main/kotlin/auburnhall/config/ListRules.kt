/*
 * What the lists must say to make sense.
 */
package auburnhall.config

import auburnhall.core.CustomerList
import auburnhall.core.Plan

/** Collects violations. */
internal abstract class Rules {
    private val found = ArrayList<Violation>()

    /** Everything that is wrong. */
    abstract fun problems(): List<Violation>

    protected fun found(): List<Violation> = found

    protected fun rule(
        holds: Boolean,
        path: String,
        message: String,
    ) {
        if (!holds) found += Violation(path, message)
    }

    /** Each of [names] is to be filled in and to stand only once. [path] gives the path of one by its index. */
    protected fun distinctNames(
        names: List<String>,
        path: (Int) -> String,
    ) = names.forEachIndexed { i, name ->
        rule(name.isNotBlank(), path(i), "must not be empty")
        rule(names.indexOf(name) == i, path(i), "'$name' is named twice")
    }
}

/** Rules of the first list. */
internal class CustomerRules(
    private val list: CustomerList,
) : Rules() {
    override fun problems(): List<Violation> {
        distinctNames(list.plans.map { it.name }) { "plans[$it].name" }
        list.plans.forEachIndexed { i, plan -> checkPlan("plans[$i]", plan) }
        distinctNames(list.customers.map { it.id.value }) { "customers[$it].id" }
        val plans = list.plans.map { it.name }.toSet()
        list.customers.forEachIndexed { i, c ->
            rule(c.plan in plans, "customers[$i].plan", "there is no plan '${c.plan}'")
        }
        checkDigests()
        return found()
    }

    private fun checkPlan(
        path: String,
        plan: Plan,
    ) {
        rule(plan.requestsPerSecond >= 0, "$path.requests_per_second", "must not be negative")
        rule(plan.tokensPerSecond >= 0, "$path.tokens_per_second", "must not be negative")
        rule(plan.concurrentRequests >= 1, "$path.concurrent_requests", "must be at least 1")
        rule(plan.weight >= 1, "$path.weight", "must be at least 1")
        rule(plan.priority >= 0, "$path.priority", "must not be negative")
        rule(plan.firstTokenMillis >= 1, "$path.first_token_ms", "must be at least 1")
        rule(plan.answerMillis >= plan.firstTokenMillis, "$path.answer_ms", "must not be less than first_token_ms")
    }

    private fun checkDigests() {
        val owners = HashMap<String, Int>()
        list.customers.forEachIndexed { i, customer ->
            customer.keyDigests.forEachIndexed { k, digest ->
                val path = "customers[$i].key_sha256[$k]"
                rule(DIGEST.matches(digest), path, "must be 64 lower-case hexadecimal digits")
                val owner = owners.putIfAbsent(digest, i)?.let { list.customers[it].id }
                rule(owner == null, path, "is already a key of customer '$owner'")
            }
        }
    }

    private companion object {
        val DIGEST = Regex("[0-9a-f]{64}")
    }
}

/** Rules of the second list, which refers to plans of the first. */
internal class UsageRules(
    private val lists: Lists,
) : Rules() {
    private val list = lists.usage

    override fun problems(): List<Violation> {
        checkModels()
        distinctNames(list.services.map { it.name }) { "services[$it].name" }
        list.services.forEachIndexed { i, service ->
            service.idempotentMethods.forEachIndexed { k, method ->
                rule(
                    METHOD.matches(method),
                    "services[$i].idempotent_methods[$k]",
                    "must be an HTTP method in capitals",
                )
            }
        }
        checkGrants()
        return found()
    }

    private fun checkModels() {
        distinctNames(list.models.map { it.name }) { "models[$it].name" }
        list.models.forEachIndexed { i, model ->
            rule(model.version.isNotBlank(), "models[$i].version", "must not be empty")
            rule(model.instancesPerReplica >= 1, "models[$i].instances_per_replica", "must be at least 1")
            rule(model.replicas >= 0, "models[$i].replicas", "must not be negative")
            rule(model.spareInstances >= 0, "models[$i].spare_instances", "must not be negative")
        }
    }

    private fun checkGrants() {
        val plans = lists.customers.plans.map { it.name }
        val models = list.models.map { it.name }
        val services = list.services.map { it.name }
        distinctNames(list.grants.map { it.plan }) { "grants[$it].plan" }
        list.grants.forEachIndexed { i, grant ->
            rule(grant.plan in plans, "grants[$i].plan", "there is no plan '${grant.plan}'")
            grant.models.forEachIndexed { k, m ->
                rule(m in models, "grants[$i].models[$k]", "there is no model '$m'")
            }
            grant.services.forEachIndexed { k, s ->
                rule(s in services, "grants[$i].services[$k]", "there is no service '$s'")
            }
        }
    }

    private companion object {
        val METHOD = Regex("[A-Z]+")
    }
}
