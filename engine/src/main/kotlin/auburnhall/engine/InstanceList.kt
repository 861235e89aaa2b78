/*
 * The platform's list of live and leaving instances, read in the format of Prometheus HTTP service discovery.
 */
package auburnhall.engine

import auburnhall.core.DataCentreId
import auburnhall.core.FabricDomainId
import auburnhall.core.HttpStatus
import auburnhall.core.InstanceId
import auburnhall.core.InstanceKind
import auburnhall.core.ListedInstance
import auburnhall.core.ListedState
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.http.HttpCall
import auburnhall.http.HttpCaller
import auburnhall.http.HttpOutcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** Outcome of reading the list. */
sealed interface InstanceListResult {
    /** The list as the platform gives it, some seconds old. */
    data class Success(
        val instances: List<ListedInstance>,
    ) : InstanceListResult

    /** The list could not be read; what was read before stays the best known. */
    data class Error(
        val error: StepError,
    ) : InstanceListResult
}

/** Reads the platform's list of instances. */
interface InstanceList {
    /** Reads the whole list; blocks. */
    fun read(): InstanceListResult
}

/** Returns an [InstanceList] read from `http://[address]/sd`. */
fun InstanceList(
    address: String,
    caller: HttpCaller = HttpCaller(),
): InstanceList = HttpInstanceList(address, caller)

/** One group of targets of Prometheus HTTP service discovery. */
@Serializable
internal data class TargetGroup(
    val targets: List<String>,
    val labels: TargetLabels,
)

/** Labels of a group, all of them text. */
@Serializable
internal data class TargetLabels(
    val instance: String,
    val kind: String,
    @SerialName("data_centre") val dataCentre: String,
    @SerialName("fabric_domain") val fabricDomain: String = "",
    val state: String = "live",
    val accelerators: String = "0",
    @SerialName("honours_fencing") val honoursFencing: String = "true",
    val service: String = "",
)

internal class HttpInstanceList(
    private val address: String,
    private val caller: HttpCaller,
) : InstanceList {
    override fun read(): InstanceListResult =
        when (val outcome = caller.call(HttpCall("GET", "http://$address/sd", TIMEOUT_MILLIS))) {
            is HttpOutcome.NoAnswer -> failed(outcome.message)
            is HttpOutcome.Answer ->
                if (outcome.status == HttpStatus.OK) decode(outcome.text()) else failed("status ${outcome.status}")
        }

    private fun decode(text: String): InstanceListResult =
        try {
            val groups = EngineProtocol.json.decodeFromString<List<TargetGroup>>(text)
            InstanceListResult.Success(groups.map(::toInstance))
        } catch (e: SerializationException) {
            failed("the list cannot be read: ${e.message}")
        } catch (e: IllegalArgumentException) {
            failed("the list cannot be read: ${e.message}")
        }

    private fun toInstance(group: TargetGroup): ListedInstance {
        val l = group.labels
        return ListedInstance(
            id = InstanceId(l.instance),
            kind = InstanceKind.valueOf(l.kind.uppercase()),
            address = group.targets.single(),
            dataCentre = DataCentreId(l.dataCentre),
            fabricDomain = l.fabricDomain.takeIf { it.isNotEmpty() }?.let(::FabricDomainId),
            state = ListedState.valueOf(l.state.uppercase()),
            accelerators = l.accelerators.toInt(),
            honoursFencing = l.honoursFencing.toBoolean(),
            service = l.service.takeIf { it.isNotEmpty() },
        )
    }

    private fun failed(message: String) = InstanceListResult.Error(StepError(Step.SERVE, address, message))

    private companion object {
        const val TIMEOUT_MILLIS = 3_000L
    }
}
