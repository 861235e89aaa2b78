package auburnhall.gateway

import auburnhall.core.Address
import auburnhall.core.CallerLimits
import auburnhall.core.Clock
import auburnhall.core.Fleet
import auburnhall.core.Worker
import auburnhall.http.HttpServer
import auburnhall.routing.TargetTable
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.TimeUnit

/** A process that takes requests over, with workers of its own. */
class OtherProcess : GatewayFixture() {
    val helped = HttpServer(loop, Clock.SYSTEM, { CallerLimits.DEFAULT }, PassedOnRequests(context, gateway))

    init {
        helped.bind(Address("127.0.0.1", 0)).sync()
    }

    fun serveBy(vararg targets: ScriptedWorker) = serve(*targets)

    fun workerOf(vararg scripts: Script) = worker(*scripts)

    fun endsAbruptly() = loop.parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync()
}

/** A process whose workers cannot be reached, beside others that it can pass requests on to. */
abstract class IsolatedProcessFixture : GatewayFixture() {
    private val others = ArrayList<OtherProcess>()

    @AfterEach
    fun closeOthers() = others.forEach { it.close() }

    protected fun otherProcess() = OtherProcess().also(others::add)

    /** Requests can be passed on to the processes at [ports], of which the first is asked before the others. */
    protected fun connectTo(vararg ports: Int) {
        val dataCentres = listOf("z") + List(ports.size) { "far" }
        val addresses = ports.map { Address("127.0.0.1", it) }
        val known = addresses.mapIndexed { index, address -> Helper("other-$index", address, dataCentres[index]) }
        loop.submit { helpers.onProcesses(known) }.sync()
    }

    /** Serves by workers of which none can be reached, at the addresses that [worker] returns. */
    protected fun serveUnreachable(worker: (number: Int) -> Address) {
        val listed = (0 until 8).map { workerEntry("i-$it", 1).copy(address = worker(it)) }
        val plain = listed.map { it.copy(service = "plain", membership = null) }
        serveFleet(listed + plain, listed)
    }

    protected fun serveFleet(
        workers: List<Worker>,
        heads: List<Worker>,
    ) {
        val replicas = mapOf("model" to heads.map(::replica))
        val table = TargetTable(Fleet(1, workers), CONFIGURATION.services.values, replicas)
        loop.submit { gateway.update(GatewayState(CONFIGURATION, table)) }.sync()
    }

    protected fun refusing() = serveUnreachable { Address("127.0.0.${it + 2}", 1) }

    protected fun status(response: String) = response.substringAfter(' ').take(3)
}
