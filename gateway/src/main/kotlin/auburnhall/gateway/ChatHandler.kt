/*
 * Serves chat completions, streamed and unstreamed, and the list of models.
 */
package auburnhall.gateway

import auburnhall.core.HttpStatus
import auburnhall.core.Reason
import auburnhall.core.Step
import com.github.michaelbull.result.mapBoth
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

private const val MILLIS_PER_SECOND = 1_000L

/** Serves `POST /v1/chat/completions`. */
internal class ChatHandler(
    private val parts: GatewayParts,
) {
    private val keyedCalls = KeyedCalls(parts)

    /** Answers [call]; a streamed answer is returned once its first token has come. */
    fun handle(call: Call): Reply =
        parseChatRequest(call.body).mapBoth(
            { authorise(call, it) },
            { refused(Reason.MALFORMED, Step.ACCEPT, "caller", "${it.param ?: "body"}: ${it.message}", it.param) },
        )

    private fun authorise(
        call: Call,
        chat: ChatRequest,
    ): Reply {
        call.trail.target = chat.model
        val known =
            call.caller.index.configuration.usage.models
                .any { it.name == chat.model }
        return when {
            !known -> refused(Reason.UNKNOWN_TARGET, Step.AUTHORISE, chat.model, "The model is not configured.", MODEL)
            chat.model !in call.caller.grant.models ->
                refused(Reason.NOT_IN_PLAN, Step.AUTHORISE, chat.model, "The plan does not name the model.", MODEL)
            else -> answer(call, chat)
        }
    }

    private fun answer(
        call: Call,
        chat: ChatRequest,
    ): Reply =
        if (call.request.header(KEY_HEADER) == null) {
            run(call, AnswerOrder(call.caller, chat), null)
        } else {
            keyedCalls.run(call) { run(call, AnswerOrder(call.caller, chat, it.dispatchBefore, once = true), it) }
        }

    private fun run(
        call: Call,
        order: AnswerOrder,
        intent: GrantedIntent?,
    ): Reply {
        val session = AnswerSession(parts, order)
        val answer = ChatAnswer(session, call.trail, head(call, order), order.chat, intent)
        var handedOver = false
        try {
            val reply = answer.begin()
            handedOver = reply is Reply.Streamed
            return reply
        } finally {
            if (!handedOver) session.close()
        }
    }

    private fun head(
        call: Call,
        order: AnswerOrder,
    ) = AnswerHead(call.trail.requestId, parts.clock.now().toEpochMilli() / MILLIS_PER_SECOND, order.chat.model)

    private companion object {
        const val MODEL = "model"
    }
}

/** Serves `GET /v1/models`: the models in the caller's plan. */
internal class ModelsHandler {
    /** Lists the models that [call]'s customer may use. */
    fun handle(call: Call): Reply {
        val granted =
            call.caller.grant.models
                .toSet()
        val names =
            call.caller.index.configuration.usage.models
                .map { it.name }
                .filter { it in granted }
        val list = ModelList("list", names.map { ModelEntry(it, "model", 0, "auburnhall") })
        return Reply.Whole(HttpStatus.OK, JSON, Json.encodeToString(ModelList.serializer(), list).toByteArray())
    }
}

@Serializable
private data class ModelList(
    val `object`: String,
    val data: List<ModelEntry>,
)

@Serializable
private data class ModelEntry(
    val id: String,
    val `object`: String,
    val created: Long,
    @SerialName("owned_by") val ownedBy: String,
)
