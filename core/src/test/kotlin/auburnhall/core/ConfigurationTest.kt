package auburnhall.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ConfigurationTest {
    private fun route(
        name: String,
        prefix: String,
    ) = Route(name, "h", prefix, RequestKind.IDEMPOTENT, 1, 1, 0, emptyList(), 1, false, false, null)

    private val customer = Customer("c", listOf("k1", "k2"), null)
    private val configuration =
        Configuration(
            1,
            listOf(route("short", "/a/"), route("long", "/a/b/")),
            emptyList(),
            listOf(customer),
            CallerLimits.DEFAULT,
        )

    @Test
    fun `the route with the longest matching prefix is chosen`() {
        assertEquals("long", configuration.route("h", "/a/b/c")?.name)
        assertEquals("short", configuration.route("h", "/a/bc")?.name)
        assertNull(configuration.route("h", "/b"))
        assertNull(configuration.route("other", "/a/b/c"))
    }

    @Test
    fun `a customer is found by each of its API keys`() {
        assertEquals(customer, configuration.customer("k2"))
        assertNull(configuration.customer("k3"))
        assertTrue(configuration.needsKeys)
    }
}
