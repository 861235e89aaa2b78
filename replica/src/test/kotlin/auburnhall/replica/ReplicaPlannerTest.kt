package auburnhall.replica

import auburnhall.core.Model
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ReplicaPlannerTest {
    private fun model(
        name: String,
        size: Int,
        share: Double,
    ) = Model(name, size, share, 1.0, 1, 1)

    @Test
    fun `six domains of eleven workers hold one replica of each model and two spares`() {
        val plan =
            ReplicaPlanner.plan(
                (1..6).associate { "d$it" to 11 },
                listOf(model("a", 6, 0.67), model("b", 3, 0.33)),
            )
        assertTrue(plan.values.all { it == mapOf("a" to 1, "b" to 1) })
    }

    @Test
    fun `six domains of 27 workers hold a large and two small replicas each and three spares`() {
        val plan =
            ReplicaPlanner.plan(
                (1..6).associate { "d$it" to 27 },
                listOf(model("a", 12, 0.5), model("b", 6, 0.5)),
            )
        assertTrue(plan.values.all { it == mapOf("a" to 1, "b" to 2) }, plan.toString())
    }

    @Test
    fun `25 domains of 35 workers serve with 32 of them`() {
        val plan =
            ReplicaPlanner.plan(
                (1..25).associate { "d$it" to 35 },
                listOf(model("a", 16, 0.5), model("b", 4, 0.5)),
            )
        assertTrue(plan.values.all { it == mapOf("a" to 1, "b" to 4) }, plan.toString())
    }

    @Test
    fun `a domain of any size keeps at least two spares, if it has as many workers`() {
        assertEquals(listOf(0, 1, 2, 2, 3, 3, 4), listOf(0, 1, 2, 11, 27, 35, 50).map(ReplicaPlanner::reserve))
    }

    @Test
    fun `a domain that lost its spares still holds both models`() {
        val plan = ReplicaPlanner.plan(mapOf("d1" to 11, "d2" to 9), listOf(model("a", 6, 0.67), model("b", 3, 0.33)))
        assertEquals(mapOf("a" to 1, "b" to 1), plan["d2"])
    }

    @Test
    fun `the model with more work gets more replicas`() {
        val plan =
            ReplicaPlanner.plan(
                (1..4).associate { "d$it" to 10 },
                listOf(model("a", 4, 0.8), model("b", 4, 0.2)),
            )
        val total = { name: String -> plan.values.sumOf { it[name] ?: 0 } }
        assertTrue(total("a") > total("b"))
        assertTrue(total("b") > 0)
    }

    @Test
    fun `a domain that is too small for any replica has an empty plan`() {
        assertEquals(
            mapOf("d1" to emptyMap<String, Int>()),
            ReplicaPlanner.plan(mapOf("d1" to 2), listOf(model("a", 6, 1.0))),
        )
    }
}
