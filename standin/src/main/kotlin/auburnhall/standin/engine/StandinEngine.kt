/*
 * One stand-in engine: HTTP handlers for chat completions, status, orders, scripted faults and the history of what ran.
 */
package auburnhall.standin.engine

import auburnhall.core.InstanceId
import auburnhall.engine.EngineOrder
import auburnhall.engine.EngineProtocol
import auburnhall.engine.EngineStatus
import auburnhall.engine.FencedAnswer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.ConcurrentLinkedQueue

/** One answer that an engine generated, wholly or in part. */
@Serializable
data class EngineRun(
    val requestId: String,
    val replica: String,
    val generation: Long,
    val firstToken: Int,
    val generated: Int,
)

/** Faults to put on a running engine; a field left out stays as it is. */
@Serializable
data class EngineFaults(
    /** Factor on the time between tokens. */
    val slowdown: Int? = null,
    val leaving: Boolean? = null,
    /** Break the next stream after this many tokens. */
    val breakAfterTokens: Int? = null,
)

internal class StandinEngine(
    private val options: EngineOptions,
    private val loadWeights: (EngineOrder.Form) -> Boolean,
) {
    val state = StandinEngineState(InstanceId(options.instance), !options.ignoresFencing)
    private val slots = BatchSlots(options.capacity)
    private val cache = PrefixCache(options.cachedPrefixes)
    private val history = ConcurrentLinkedQueue<EngineRun>()
    private val report = LaggingReport(options.reportLagMillis)

    @Volatile
    private var faults = EngineFaults()

    val handler: HttpHandler = { request ->
        when (request.uri.path) {
            EngineProtocol.CHAT_PATH -> chat(request)
            EngineProtocol.STATUS_PATH -> json(EngineProtocol.json.encodeToString(EngineStatus.serializer(), status()))
            EngineProtocol.ORDERS_PATH -> order(request)
            LIVE_PATH -> json("""{"running":${slots.running()},"queued":${slots.queued()}}""")
            "/faults" -> fault(request)
            "/history" -> json(EngineProtocol.json.encodeToString(history.toList()))
            else -> Response(Status.NOT_FOUND)
        }
    }

    fun status(): EngineStatus {
        val a = state.assignment()
        val load = report.read(EngineLoad(slots.running(), slots.queued(), cache.prefixes()))
        return EngineStatus(
            instance = InstanceId(options.instance),
            incarnation = state.incarnation,
            replica = a?.replica,
            generation = state.generation(),
            model = a?.model,
            modelVersion = a?.modelVersion,
            state = state.state(),
            missingMembers = state.missing,
            running = load.running,
            queued = load.queued,
            capacity = options.capacity,
            tokensPerSecond = (MILLIS_PER_SECOND / (options.tokenMillis * slowdown()).coerceAtLeast(1)).toInt(),
            leaving = state.leaving,
            prefixes = load.prefixes,
        )
    }

    private fun order(request: Request): Response =
        try {
            val order = EngineProtocol.json.decodeFromString(EngineOrder.serializer(), request.bodyString())
            when (val decision = state.onOrder(order)) {
                is OrderDecision.Fence ->
                    json(EngineProtocol.json.encodeToString(FencedAnswer.serializer(), FencedAnswer(decision.current)))
                        .status(Status.CONFLICT)
                is OrderDecision.Accept -> accept(decision)
            }
        } catch (e: SerializationException) {
            Response(Status.BAD_REQUEST).body(e.message.orEmpty())
        }

    private fun accept(decision: OrderDecision.Accept): Response {
        val form = decision.load
        if (form != null) {
            cache.clear()
            Thread({ state.onLoaded(form.generation, loadWeights(form)) }, "load").apply { isDaemon = true }.start()
        }
        return json("{}")
    }

    private fun fault(request: Request): Response {
        val f = EngineProtocol.json.decodeFromString(EngineFaults.serializer(), request.bodyString())
        faults =
            EngineFaults(
                slowdown = f.slowdown ?: faults.slowdown,
                breakAfterTokens = f.breakAfterTokens ?: faults.breakAfterTokens,
            )
        f.leaving?.let { state.leaving = it }
        return json("{}")
    }

    private fun chat(request: Request): Response {
        val replica = request.header(EngineProtocol.REPLICA_HEADER)
        val generation = request.header(EngineProtocol.GENERATION_HEADER)?.toLongOrNull()
        if (!state.serves(replica, generation)) {
            return json("""{"error":{"message":"not serving replica $replica generation $generation"}}""")
                .status(Status.SERVICE_UNAVAILABLE)
        }
        val body = EngineProtocol.json.parseToJsonElement(request.bodyString()).jsonObject
        slots.acquire(body["priority"]?.jsonPrimitive?.intOrNull ?: 0)
        val stream = stream(body, request.header(EngineProtocol.REQUEST_ID_HEADER).orEmpty())
        return Response(Status.OK).header("Content-Type", "text/event-stream").body(stream)
    }

    private fun stream(
        body: JsonObject,
        requestId: String,
    ): GeneratedStream {
        val plan = plan(body)
        val assignment = state.assignment()
        val breakAfter = faults.breakAfterTokens
        if (breakAfter != null) faults = faults.copy(breakAfterTokens = null)
        var asked = 0
        return GeneratedStream(
            plan,
            mayContinue = {
                asked += 1
                state.missing.isEmpty() &&
                    state.assignment()?.generation == assignment?.generation &&
                    (breakAfter == null || asked <= breakAfter)
            },
            slowdown = ::slowdown,
            onClose = { generated ->
                slots.release()
                val a = assignment
                history +=
                    EngineRun(requestId, a?.replica?.value.orEmpty(), a?.generation ?: 0, plan.firstToken, generated)
            },
        )
    }

    private fun plan(body: JsonObject): Generation {
        val all = body["messages"]?.jsonArray ?: JsonArray(emptyList())
        val continues = body["continue_final_message"]?.jsonPrimitive?.booleanOrNull == true
        val messages = if (continues) JsonArray(all.dropLast(1)) else all
        val delivered =
            if (continues) {
                ReferenceAnswer.countTokens(
                    all
                        .last()
                        .jsonObject["content"]!!
                        .jsonPrimitive.content,
                )
            } else {
                0
            }
        val prompt = ReferenceAnswer.prompt(messages)
        val cached = cache.use(prompt)
        val tokens = body["max_tokens"]?.jsonPrimitive?.intOrNull ?: DEFAULT_TOKENS
        val prefill = if (cached > 0) options.prefillMillis / 2 else options.prefillMillis
        return Generation(prompt, delivered, tokens, prompt.length / CHARS_PER_TOKEN, prefill, options.tokenMillis)
    }

    private fun slowdown(): Int = faults.slowdown ?: 1

    private fun json(text: String) = Response(Status.OK).header("Content-Type", "application/json").body(text)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** The load as it is, without the lag of the status; for tests and the demo. */
        const val LIVE_PATH = "/v1/engine/live"
        const val DEFAULT_TOKENS = 32
        const val CHARS_PER_TOKEN = 4
    }
}
