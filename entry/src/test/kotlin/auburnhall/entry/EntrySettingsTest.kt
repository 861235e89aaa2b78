package auburnhall.entry

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.fail

class EntrySettingsTest {
    private val required =
        listOf("--instance", "e1", "--data-centre", "dc1", "--store", "127.0.0.1:1", "--platform", "127.0.0.1:2")

    @Test
    fun `a missing flag is named together with its variable`() {
        assertEquals("--instance (or AUBURNHALL_INSTANCE) is required", problem(emptyList(), emptyMap()))
    }

    @Test
    fun `a number out of range is named with its range`() {
        val message = problem(required + listOf("--port", "70000"), emptyMap())
        assertEquals("--port must be a whole number from 0 to 65535, not '70000'", message)
    }

    @Test
    fun `an operator without a digest is refused`() {
        assertTrue(problem(required + listOf("--operators", "ana=abc"), emptyMap()).startsWith("--operators must list"))
    }

    @Test
    fun `a variable stands in for a flag and a flag goes before its variable`() {
        val environment = mapOf("AUBURNHALL_PORT" to "9000", "AUBURNHALL_PEER_PORT" to "9001")
        val settings = parseSettings(required + listOf("--port", "9100"), environment).getOrElse { fail("$it") }
        assertEquals(9100, settings.listen.port)
        assertEquals(9001, settings.listen.peerPort)
    }

    @Test
    fun `help lists every flag`() {
        val help = parseSettings(listOf("--help"), emptyMap()).getError() as SettingsProblem.Help
        assertTrue(help.text.contains("--drain-seconds SECONDS"))
    }

    private fun problem(
        args: List<String>,
        environment: Map<String, String>,
    ) = (parseSettings(args, environment).getError() as SettingsProblem.Invalid).message
}
