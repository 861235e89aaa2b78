package auburnhall.process

import auburnhall.http.HttpOutcome
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture

/** Faults put on real processes. */
class ProcessFaultTest {
    @Test
    fun `an answer goes on at another replica when a member is killed and any process explains it`() =
        testFleet().use { fleet ->
            val chat = StreamedChat(fleet.entries[0], 150)
            chat.awaitTokens(20, fleet::outputs)
            val leader = checkNotNull(fleet.busyLeader()) { "no engine is busy" }
            fleet.engines
                .single { it.name == leader.name.dropLast(1) + "2" }
                .process
                .kill()
            chat.awaitEnd(fleet::outputs)
            assertTrue(chat.isWhole, "error: ${chat.error}, tokens: ${chat.received}")
            awaitUntil("the explanation", fleet::outputs) {
                fleet.explanation(chat.requestId, fleet.entries[1]).contains("RETRIED")
            }
        }

    @Test
    fun `a planned stop of an entry process lets the answer in progress finish`() =
        testFleet().use { fleet ->
            val chat = StreamedChat(fleet.entries[0], 150)
            chat.awaitTokens(5, fleet::outputs)
            fleet.entries[0].process.terminate()
            chat.awaitEnd(fleet::outputs)
            assertTrue(chat.isWhole, "error: ${chat.error}, tokens: ${chat.received}")
            assertEquals(EXIT_ON_SIGTERM, fleet.entries[0].process.awaitExit())
        }

    @Test
    fun `an order runs once though the process that serves it is killed and the caller retries elsewhere`() =
        testFleet().use { fleet ->
            fleet.fault(fleet.service.address, """{"orders":1,"delayBeforeMillis":8000}""")
            val first = CompletableFuture.supplyAsync { fleet.order(fleet.entries[0], "order-1") }
            awaitUntil("the service to receive the order", fleet::outputs) {
                fleet.get(fleet.service.address, "/live").contains("\"received\":1")
            }
            val meanwhile = fleet.order(fleet.entries[1], "order-1") as HttpOutcome.Answer
            assertEquals(HTTP_CONFLICT, meanwhile.status, meanwhile.text())
            fleet.entries[0].process.kill()
            assertTrue(first.get() is HttpOutcome.NoAnswer)
            awaitUntil("the order to have run", fleet::outputs) { fleet.ordersRun() == 1 }
            val retry = fleet.order(fleet.entries[1], "order-1") as HttpOutcome.Answer
            assertTrue(
                retry.text().contains("\"run_state\":\"may_have_run\"") || retry.status == HTTP_CREATED,
                retry.text(),
            )
            assertEquals(1, fleet.ordersRun())
        }

    @Test
    fun `chats go on and orders are refused as not run while the store is stopped`() =
        testFleet().use { fleet ->
            fleet.platform.pause()
            val chat = StreamedChat(fleet.entries[0], 50)
            chat.awaitEnd(fleet::outputs)
            assertTrue(chat.isWhole, "error: ${chat.error}, tokens: ${chat.received}")
            val refused = fleet.order(fleet.entries[1], "order-2") as HttpOutcome.Answer
            assertTrue(refused.text().contains("\"run_state\""), refused.text())
            assertEquals(0, fleet.ordersRun())
            fleet.platform.resume()
            awaitUntil("an order to run", fleet::outputs) {
                (fleet.order(fleet.entries[1], "order-3") as? HttpOutcome.Answer)?.status == HTTP_CREATED
            }
            assertEquals(1, fleet.ordersRun())
        }

    @Test
    fun `a process that was paused during a change never serves under the old lists`() =
        testFleet().use { fleet ->
            fleet.entries[1].process.pause()
            val answer = fleet.apply("revoke", TestFleet.customers("new-key"), 1)
            assertTrue(answer.contains("\"accepted\""), answer)
            fleet.entries[1].process.resume()
            val old = StreamedChat(fleet.entries[1], 5)
            old.awaitEnd(fleet::outputs)
            assertTrue(old.status == HTTP_UNAUTHORIZED || old.status == HTTP_UNAVAILABLE, "status ${old.status}")
            awaitUntil("the new key to work", fleet::outputs) {
                val fresh = StreamedChat(fleet.entries[1], 5, "new-key")
                fresh.awaitEnd(fleet::outputs)
                fresh.isWhole
            }
        }

    @Test
    fun `a drained instance finishes its answers and then leaves its replica`() =
        testFleet().use { fleet ->
            val chat = StreamedChat(fleet.entries[0], 200)
            chat.awaitTokens(5, fleet::outputs)
            val leader = checkNotNull(fleet.busyLeader()) { "no engine is busy" }
            fleet.drain(leader.name)
            chat.awaitEnd(fleet::outputs)
            assertTrue(chat.isWhole, "error: ${chat.error}, tokens: ${chat.received}")
            awaitUntil("the instance to be in no replica", fleet::outputs) {
                val status = fleet.status()
                status != null && status.replicas.none { r -> r.members.any { it.value == leader.name } }
            }
        }

    private companion object {
        const val EXIT_ON_SIGTERM = 143
        const val HTTP_CREATED = 201
        const val HTTP_UNAUTHORIZED = 401
        const val HTTP_CONFLICT = 409
        const val HTTP_UNAVAILABLE = 503
    }
}
