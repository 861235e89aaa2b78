/*
 * How the platform notices dead instances.
 */
package auburnhall.standin.platform

import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Connects to every registered instance each [periodMillis] and tells [instances] which ones accepted. */
class InstanceProber(
    private val instances: InstanceList,
    periodMillis: Long,
) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { r -> Thread(r, "probe").apply { isDaemon = true } }

    init {
        timer.scheduleWithFixedDelay(::probeAll, periodMillis, periodMillis, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        timer.shutdownNow()
    }

    private fun probeAll() =
        instances.registered().forEach { g ->
            instances.noteProbe(g.labels.instance, g.targets.all { accepts(it) })
        }

    private fun accepts(address: String): Boolean =
        try {
            val host = address.substringBeforeLast(':')
            val port = address.substringAfterLast(':').toInt()
            Socket().use { it.connect(InetSocketAddress(host, port), CONNECT_MILLIS) }
            true
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val CONNECT_MILLIS = 500
    }
}
