/*
 * What every stand-in process has in common.
 */
package auburnhall.standin

import auburnhall.http.HttpCall
import auburnhall.http.HttpCaller
import auburnhall.http.HttpOutcome
import java.util.concurrent.CountDownLatch

/** A stand-in that runs as a process. */
interface StandinCommand {
    /** Object with args4j options, filled before [run]. */
    val options: Any

    /** Runs until the process is ended. */
    fun run()
}

/** Blocks until the process is ended. */
internal fun awaitEnd() = CountDownLatch(1).await()

/** An instance as it registers with the platform stand-in. */
internal data class ListEntry(
    val address: String,
    val instance: String,
    val kind: String,
    val dataCentre: String,
    val fabricDomain: String = "",
    val accelerators: Int = 0,
    val honoursFencing: Boolean = true,
    val service: String = "",
) {
    /** Puts this entry into the list of the platform at [platform]; ends the process when that fails. */
    fun register(
        caller: HttpCaller,
        platform: String,
    ) {
        val labels =
            """{"instance":"$instance","kind":"$kind","data_centre":"$dataCentre",""" +
                """"fabric_domain":"$fabricDomain","state":"live","accelerators":"$accelerators",""" +
                """"honours_fencing":"$honoursFencing","service":"$service"}"""
        val body = """{"targets":["$address"],"labels":$labels}""".encodeToByteArray()
        val outcome = caller.call(HttpCall("POST", "http://$platform/instances", TIMEOUT_MILLIS, body))
        check(outcome is HttpOutcome.Answer && outcome.status < BAD_REQUEST) { "cannot register $instance: $outcome" }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 5_000L
        const val BAD_REQUEST = 400
    }
}
