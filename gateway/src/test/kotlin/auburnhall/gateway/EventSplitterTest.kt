package auburnhall.gateway

import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class EventSplitterTest {
    private val stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight-versions: 3\nid: 30\ndata: c\n\n"

    @Test
    fun `events do not depend on how the bytes are split`() {
        val seed = 7L
        println("seed = $seed")
        val random = Random(seed)
        repeat(200) {
            val splitter = EventSplitter()
            val events = ArrayList<StreamEvent>()
            var rest = stream.toByteArray()
            while (rest.isNotEmpty()) {
                val size = random.nextInt(1, rest.size + 1)
                events += splitter.add(rest.copyOfRange(0, size))
                rest = rest.copyOfRange(size, rest.size)
            }
            assertEquals(listOf(1L, 2L, 30L), events.map { it.id })
            assertArrayEquals(stream.toByteArray(), events.map { it.bytes }.reduce { a, b -> a + b })
            assertEquals(0, splitter.remainder.size)
        }
    }

    @Test
    fun `an event's id is the number in its first id line`() {
        val ids =
            mapOf(
                "data: a\nid: 7\nid: 8\n\n" to 7L,
                "id:7\r\ndata: id: 8\r\n\r\n" to 7L,
                "data: id: 8\rid: 9 \n\n" to 9L,
                "id: seven\nid: 8\n\n" to null,
                "ident: 7\n\n" to null,
                "data: a\nid:\n\n" to null,
                "\n\n" to null,
            )
        ids.forEach { (text, id) -> assertEquals(id, EventSplitter().add(text.toByteArray()).single().id, text) }
    }

    @Test
    fun `long events and remainders are kept whole`() {
        val splitter = EventSplitter()
        val event = "id: 1\ndata: ${"x".repeat(100_000)}\n\n".toByteArray()
        val events =
            (
                event + event +
                    event.copyOf(
                        5_000,
                    )
            ).toList().chunked(777).flatMap { splitter.add(it.toByteArray()) }
        assertEquals(2, events.size)
        events.forEach { assertArrayEquals(event, it.bytes) }
        assertArrayEquals(event.copyOf(5_000), splitter.remainder)
    }

    @Test
    fun `the memory of a long event is not kept`() {
        val splitter = EventSplitter()
        val event = "id: 1\ndata: ${"x".repeat(1_000_000)}\n\n".toByteArray()
        splitter.add(event.copyOf(900_000))
        assertEquals(1, splitter.add(event.copyOfRange(900_000, event.size) + "id".toByteArray()).size)
        assertEquals("id", String(splitter.remainder))
        assertTrue(splitter.capacityBytes <= 16_384, "${splitter.capacityBytes} bytes")
    }

    @Test
    fun `an incomplete event is not returned`() {
        val splitter = EventSplitter()
        assertEquals(1, splitter.add("id: 1\ndata: a\n\nid: 2\nda".toByteArray()).size)
        assertEquals("id: 2\nda", String(splitter.remainder))
    }
}
