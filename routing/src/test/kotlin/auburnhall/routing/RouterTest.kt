package auburnhall.routing

import auburnhall.core.DataCentreId
import auburnhall.core.Deadline
import auburnhall.core.FleetView
import auburnhall.core.InstanceId
import auburnhall.core.Replica
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState
import auburnhall.core.ReplicaStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class RouterTest {
    private val request = RouteRequest("m")
    private val router = Router(DC, Random(1), RoutingSettings(engineQueueShare = 0.0))

    @Test
    fun `a replica whose signs of life are too old gets no request`() {
        val view = FleetView(listOf(status("a", presentUntil = 100)))
        assertEquals("a", chosen(router.choose(view, request, 99)))
        assertEquals(RouteResult.None, router.choose(view, request, 100))
    }

    @Test
    fun `a replica that failed the request before is left out`() {
        val view = FleetView(listOf(status("a"), status("b")))
        repeat(20) { assertEquals("b", chosen(router.choose(view, RouteRequest("m", excluded = setOf(A)), 0))) }
    }

    @Test
    fun `own requests since the report fill a replica at once`() {
        val view = FleetView(listOf(status("a", running = 2)))
        repeat(2) {
            assertEquals("a", chosen(router.choose(view, request, 0)))
            router.onStart(A, 0)
        }
        assertEquals(RouteResult.Full, router.choose(view, request, 0))
        router.onFinish(A, 0, 0, RequestEnd.Answered(0.0))
        assertEquals("a", chosen(router.choose(view, request, 0)))
    }

    @Test
    fun `own requests that a report has counted are not counted twice`() {
        router.onStart(A, 0)
        router.onStart(A, 0)
        val view = FleetView(listOf(status("a", running = 3, reportedAt = 1_000)))
        assertEquals("a", chosen(router.choose(view, request, 1_000)))
        router.onStart(A, 1_000)
        assertEquals(RouteResult.Full, router.choose(view, request, 1_000))
    }

    @Test
    fun `a replica that failed is left out for a while and comes back`() {
        val view = FleetView(listOf(status("a"), status("b")))
        router.onStart(A, 0)
        router.onFinish(A, 0, 0, RequestEnd.Failed)
        repeat(20) { assertEquals("b", chosen(router.choose(view, request, 400))) }
        val later = List(50) { chosen(router.choose(view, request, 60_000)) }
        assertTrue("a" in later)
    }

    @Test
    fun `a replica that returns draws no more than the others`() {
        val view = FleetView(listOf(status("a", running = 2), status("b", running = 1)))
        listOf(A, B).forEach { id ->
            router.onStart(id, 0)
            router.onFinish(id, 0, 0, RequestEnd.Answered(10.0))
        }
        router.onStart(A, 0)
        router.onFinish(A, 0, 0, RequestEnd.Failed)
        val counts = List(200) { chosen(router.choose(view, request, 3_000)) }.groupingBy { it }.eachCount()
        assertTrue((counts["a"] ?: 0) < (counts["b"] ?: 0), "$counts")
    }

    @Test
    fun `all present replicas stay in use when most of them are ejected`() {
        val view = FleetView(listOf(status("a")))
        router.onStart(A, 0)
        router.onFinish(A, 0, 0, RequestEnd.Failed)
        assertEquals("a", chosen(router.choose(view, request, 1)))
    }

    private fun chosen(result: RouteResult) =
        (result as RouteResult.Chosen)
            .replica.replica.id.value

    private fun status(
        id: String,
        presentUntil: Long = Long.MAX_VALUE,
        running: Int = 0,
        reportedAt: Long = -1_000,
    ) = ReplicaStatus(
        Replica(ReplicaId(id), "m", "1", listOf(InstanceId("$id-0")), 1, ReplicaState.SERVING),
        DC,
        id,
        Deadline(presentUntil),
        4,
        running,
        0,
        reportedAt,
    )

    private companion object {
        val DC = DataCentreId("dc")
        val A = ReplicaId("a")
        val B = ReplicaId("b")
    }
}
