package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ResponseBuffersTest {
    private val buffers = ResponseBuffers()

    @Test
    fun `long responses leave room for the first bytes of every other one`() {
        val long = List(20) { buffers.open() }
        val held = long.takeWhile { it.hold(ResponseBuffers.MAX_BODY_BYTES) }
        assertEquals(4, held.size)
        repeat(1_000) { assertTrue(buffers.open().hold(ResponseBuffers.FREE_BYTES.toInt())) }
        assertFalse(long.last().hold(ResponseBuffers.MAX_BODY_BYTES))
    }

    @Test
    fun `released bytes are free again, once`() {
        val first = buffers.open()
        assertTrue(first.hold(ResponseBuffers.MAX_BODY_BYTES))
        repeat(2) { first.release() }
        assertEquals(0, buffers.heldBytes)
    }

    @Test
    fun `the bytes of an event count until it is complete`() {
        val stream = buffers.open()
        assertTrue(stream.hold(ResponseBuffers.MAX_EVENT_BYTES))
        assertTrue(stream.hold(0))
        assertEquals(0, buffers.heldBytes)
    }
}
