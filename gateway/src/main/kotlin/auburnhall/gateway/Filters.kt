/*
 * The stages that every request passes before a handler sees it.
 */
package auburnhall.gateway

import auburnhall.config.ConfigSource
import auburnhall.config.ConfigView
import auburnhall.core.Clock
import auburnhall.core.Customer
import auburnhall.core.Grant
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.RunState
import auburnhall.core.Step
import auburnhall.core.StepError
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.TimeoutException

private const val RETRY_SOON_SECONDS = 1L
private const val CALLER = "caller"

/**
 * What a refusal before the ledger was asked may say. A call with a key may be a retry, and only the ledger knows
 * whether the first call was passed on.
 */
private val Arrival.refusedRunState: RunState
    get() = if (request.header(KEY_HEADER) == null) RunState.NOT_RUN else RunState.MAY_HAVE_RUN

/** Refuses new requests once the process has closed. */
internal class AcceptStage(
    private val state: () -> GatewayState,
) : Stage<Arrival, Arrival> {
    override fun handle(
        input: Arrival,
        next: (Arrival) -> Reply,
    ): Reply {
        if (state() != GatewayState.CLOSED) return next(input)
        val error = StepError(Step.ACCEPT, "self", "Another entry process will serve it.")
        return Reply.Refused(Refusal(Reason.DRAINING, input.refusedRunState, error, RETRY_SOON_SECONDS))
    }
}

/** Refuses requests whose head or announced body is too large, before any of the body is read. */
internal class SizeStage(
    private val settings: GatewaySettings,
) : Stage<Arrival, Arrival> {
    override fun handle(
        input: Arrival,
        next: (Arrival) -> Reply,
    ): Reply =
        when {
            headerBytes(input) > settings.headerBytes -> headerTooLarge(settings.headerBytes)
            announcedBytes(input) > settings.bodyBytes -> bodyTooLarge(settings.bodyBytes)
            else -> next(input)
        }

    private fun headerBytes(input: Arrival): Int =
        input.request.headers.sumOf { (name, value) -> name.length + (value?.length ?: 0) }

    private fun announcedBytes(input: Arrival): Long = input.request.header("Content-Length")?.toLongOrNull() ?: 0

    private fun headerTooLarge(limit: Int) =
        refused(Reason.HEADER_TOO_LARGE, Step.ACCEPT, CALLER, "The limit is $limit bytes.")
}

/** Lets a request through only while a configuration is in force. */
internal class ConfigurationStage(
    private val config: ConfigSource,
) : Stage<Arrival, Configured> {
    override fun handle(
        input: Arrival,
        next: (Configured) -> Reply,
    ): Reply =
        when (val view = config.current()) {
            is ConfigView.InForce -> next(Configured(input, view.index))
            is ConfigView.Stale -> stale(view, input)
        }

    private fun stale(
        view: ConfigView.Stale,
        input: Arrival,
    ) = Reply.Refused(
        Refusal(Reason.CONFIGURATION_STALE, input.refusedRunState, view.error, RETRY_SOON_SECONDS),
    )
}

/** Finds the customer by the API key. */
internal class AuthenticationStage : Stage<Configured, Authenticated> {
    override fun handle(
        input: Configured,
        next: (Authenticated) -> Reply,
    ): Reply {
        val key = bearerKey(input) ?: return badKey("The Authorization header with a Bearer key is missing.")
        val customer = input.index.customerByKey(sha256(key.toByteArray()))
        return if (customer == null) badKey("The key is not known.") else authorised(input, customer, next)
    }

    private fun authorised(
        input: Configured,
        customer: Customer,
        next: (Authenticated) -> Reply,
    ): Reply {
        input.arrival.trail.customer = customer
        val plan =
            input.index.plan(customer.plan)
                ?: return refused(Reason.NOT_IN_PLAN, Step.AUTHORISE, customer.plan, "The plan is not configured.")
        val grant = input.index.grant(plan.name) ?: Grant(plan.name)
        return next(Authenticated(input.arrival, input.index, customer, plan, grant))
    }

    private fun bearerKey(input: Configured): String? {
        val value =
            input.arrival.request
                .header("Authorization")
                .orEmpty()
        if (!value.startsWith(BEARER, ignoreCase = true)) return null
        return value.substring(BEARER.length).trim().ifEmpty { null }
    }

    private fun badKey(message: String) = refused(Reason.BAD_KEY, Step.AUTHENTICATE, CALLER, message)

    private companion object {
        const val BEARER = "Bearer "
    }
}

/** Reads the body, within its size and time limits. */
internal class BodyStage(
    private val settings: GatewaySettings,
    private val clock: Clock,
) : Stage<Authenticated, Call> {
    override fun handle(
        input: Authenticated,
        next: (Call) -> Reply,
    ): Reply =
        when (val read = read(input)) {
            is BodyRead.Success -> next(Call(input, read.bytes))
            is BodyRead.Error -> read.reply
        }

    private fun read(input: Authenticated): BodyRead =
        try {
            readWithin(input)
        } catch (e: IOException) {
            BodyRead.Error(interrupted(e))
        }

    private fun readWithin(input: Authenticated): BodyRead {
        val stream = input.arrival.request.body.stream
        val bytes = ByteArrayOutputStream()
        val buffer = ByteArray(READ_BYTES)
        val due = input.arrival.trail.deadlineIn(settings.bodyMillis)
        while (true) {
            val n = stream.read(buffer)
            if (n < 0) return BodyRead.Success(bytes.toByteArray())
            bytes.write(buffer, 0, n)
            refusalOf(bytes.size(), due.hasPassed(clock.monotonicMillis()))?.let { return BodyRead.Error(it) }
        }
    }

    private fun refusalOf(
        size: Int,
        late: Boolean,
    ): Reply.Refused? =
        when {
            size > settings.bodyBytes -> bodyTooLarge(settings.bodyBytes)
            late -> tooSlow("It was not complete after ${settings.bodyMillis} ms.")
            else -> null
        }

    private fun interrupted(e: IOException): Reply.Refused =
        if (e is java.net.SocketTimeoutException || e.cause is TimeoutException) {
            tooSlow("Nothing more came of the request.")
        } else {
            refused(Reason.CALLER_GONE, Step.ACCEPT, CALLER, "The request broke off: ${e.message}")
        }

    private fun tooSlow(message: String) = refused(Reason.CALLER_TOO_SLOW, Step.ACCEPT, CALLER, message)

    private sealed interface BodyRead {
        class Success(
            val bytes: ByteArray,
        ) : BodyRead

        class Error(
            val reply: Reply.Refused,
        ) : BodyRead
    }

    private companion object {
        const val READ_BYTES = 8 * 1024
    }
}

private fun bodyTooLarge(limit: Int) = refused(Reason.BODY_TOO_LARGE, Step.ACCEPT, CALLER, "The limit is $limit bytes.")

/** The SHA-256 of the concatenated [pieces] in lower-case hexadecimal. */
internal fun sha256(vararg pieces: ByteArray): String {
    val digest = MessageDigest.getInstance("SHA-256")
    pieces.forEach(digest::update)
    return HexFormat.of().formatHex(digest.digest())
}

/** Calls [onClose] once when this stream is closed. */
internal class ClosingStream(
    private val from: InputStream,
    private val onClose: () -> Unit,
) : InputStream() {
    private var closed = false

    override fun read(): Int = from.read()

    override fun read(
        b: ByteArray,
        off: Int,
        len: Int,
    ): Int = from.read(b, off, len)

    override fun close() {
        synchronized(this) {
            if (closed) return
            closed = true
        }
        try {
            from.close()
        } finally {
            onClose()
        }
    }
}
