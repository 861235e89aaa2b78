package auburnhall.http

import auburnhall.core.CallerLimits
import auburnhall.test.FakeScheduler
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Long bodies that arrive at the same time and do not all fit into the memory for bodies. */
class RequestReceiverTest {
    private val scheduler = FakeScheduler()
    private val memory = RequestMemory(scheduler)

    private inner class Caller : RequestReceiver.Listener {
        private val receiver =
            RequestReceiver(RequestAggregator(CallerLimits.DEFAULT, scheduler, memory), memory, this)
        var served = false
        var refused = false

        fun begin() {
            val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/")
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES)
            receiver.onPart(head)
            repeat(PARTS / 2) { receiver.onPart(DefaultHttpContent(Unpooled.wrappedBuffer(ByteArray(PART_BYTES)))) }
        }

        fun finish() {
            repeat(PARTS / 2) { receiver.onPart(DefaultHttpContent(Unpooled.wrappedBuffer(ByteArray(PART_BYTES)))) }
            receiver.onPart(DefaultLastHttpContent())
        }

        override fun onResult(result: AggregationResult) {
            val complete = result as? AggregationResult.Complete ?: return
            served = true
            complete.release()
        }

        override fun onWaitingChange() = Unit

        override fun onMemoryTimeout() {
            refused = true
            receiver.close()
        }
    }

    /** Guards against bodies that each hold a part, wait for each other and are all refused at the same moment. */
    @Test
    fun `of bodies whose waits end at the same moment, some are refused and others get their memory`() {
        val callers = List(CALLERS) { Caller() }
        callers.forEach { it.begin() }
        callers.forEach { it.finish() }
        scheduler.advance(10_000)
        assertEquals(0, memory.heldBytes)
        assertTrue(callers.all { it.served != it.refused })
        assertTrue(callers.count { it.served } >= callers.size / 3, "${callers.count { it.served }} served")
    }

    private companion object {
        const val PARTS = 16
        const val PART_BYTES = 65_536
        const val BODY_BYTES = PARTS * PART_BYTES

        /** Their first halves together are more than there is memory for. */
        const val CALLERS = RequestMemory.MAX_FURTHER_BYTES / (BODY_BYTES / 2) + 4
    }
}
