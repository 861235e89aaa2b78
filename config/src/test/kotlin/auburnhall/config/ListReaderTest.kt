package auburnhall.config

import com.github.michaelbull.result.getOrElse
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ListReaderTest {
    @Test
    fun `every problem of shape is told with file, line and field`() {
        val customers =
            """
            {
              "plans": [
                {"name": "gold", "requests_per_second": "many", "tokens_per_second": 1,
                 "concurrent_requests": 1.5, "first_token_ms": 400, "answer_ms": 9000, "colour": 1}
              ],
              "customers": [{"id": "shop", "key_sha256": []}]
            }
            """.trimIndent()
        val expected =
            listOf(
                "customers.json:3: plans[0].requests_per_second: must be a number",
                "customers.json:4: plans[0].colour: is not a known field",
                "customers.json:4: plans[0].concurrent_requests: must be an integer",
                "customers.json:6: customers[0].plan: is missing",
            )
        assertEquals(expected, problems(customers, "{}"))
    }

    @Test
    fun `every rule that is broken is told with file, line and field`() {
        val usage =
            """
            {
              "models": [{"name": "m", "version": "1", "instances_per_replica": 0}],
              "services": [{"name": "stock", "idempotent_methods": ["get"]}],
              "grants": [
                {"plan": "silver"},
                {"plan": "gold", "models": ["n"],
                 "services": ["orders"]}
              ]
            }
            """.trimIndent()
        val expected =
            listOf(
                "customers.json:3: plans[0].requests_per_second: must not be negative",
                "customers.json:7: plans[1].name: 'gold' is named twice",
                "customers.json:12: customers[0].plan: there is no plan 'bronze'",
                "customers.json:12: customers[0].key_sha256[0]: must be 64 lower-case hexadecimal digits",
                "customers.json:15: customers[2].key_sha256[0]: is already a key of customer 'b'",
                "usage.json:2: models[0].instances_per_replica: must be at least 1",
                "usage.json:3: services[0].idempotent_methods[0]: must be an HTTP method in capitals",
                "usage.json:5: grants[0].plan: there is no plan 'silver'",
                "usage.json:6: grants[1].models[0]: there is no model 'n'",
                "usage.json:7: grants[1].services[0]: there is no service 'orders'",
            )
        assertEquals(expected, problems(BROKEN_CUSTOMERS, usage))
    }

    @Test
    fun `text that is not JSON is told with its line`() {
        val problem = problems("{\n\"plans\": [\n}", "{}").single()
        assertTrue(problem.startsWith("customers.json:3: file: is not valid JSON"), problem)
    }

    @Test
    fun `a field given twice is refused`() {
        assertEquals(
            listOf("usage.json:2: models: is given twice"),
            problems("{}", "{\"models\": [],\n\"models\": []}"),
        )
    }

    private fun problems(
        customers: String,
        usage: String,
    ): List<String> {
        val found = ArrayList<Problem>()
        ListReader.read(ListFiles(customers, usage)).getOrElse {
            found += it
            null
        }
        return found.map { it.toString() }
    }

    private companion object {
        val DIGEST = "a".repeat(64)
        val BROKEN_CUSTOMERS =
            """
            {
              "plans": [
                {"name": "gold", "requests_per_second": -1, "tokens_per_second": 1,
                 "concurrent_requests": 1,
                 "first_token_ms": 400, "answer_ms": 9000},

                {"name": "gold", "requests_per_second": 1, "tokens_per_second": 1,
                 "concurrent_requests": 1,
                 "first_token_ms": 400, "answer_ms": 9000}
              ],
              "customers": [
                {"id": "a", "plan": "bronze", "key_sha256": ["abc"]},
                {"id": "b", "plan": "gold", "key_sha256": ["$DIGEST"]},
                {"id": "c", "plan": "gold",
                 "key_sha256": ["$DIGEST"]}
              ]
            }
            """.trimIndent()
    }
}
