/*
 * Runs an http4k handler on Jetty. The body of a response is written as it is read, so a handler streams by returning a
 * body whose stream blocks until there is more.
 */
package auburnhall.http

import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import org.eclipse.jetty.server.Request as JettyRequest
import org.eclipse.jetty.server.Response as JettyResponse

/**
 * Settings of an HTTP server.
 *
 * @property threads most requests served at once; each holds one thread until its answer is complete.
 * @property idleTimeoutMillis time without a byte in either direction after which a connection is closed.
 * @property headerBytes largest request head; a larger one is answered with status 431.
 */
data class ServerSettings(
    val host: String,
    val port: Int,
    val threads: Int = DEFAULT_THREADS,
    val idleTimeoutMillis: Long = DEFAULT_IDLE_MILLIS,
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
) {
    private companion object {
        const val DEFAULT_THREADS = 600
        const val DEFAULT_IDLE_MILLIS = 30_000L
        const val DEFAULT_HEADER_BYTES = 16 * 1024
    }
}

/** An HTTP server that is accepting connections. */
interface HttpServer : AutoCloseable {
    /** The port in use; the one chosen by the system when the settings named port 0. */
    val port: Int

    /** Stops accepting connections at once and closes those that exist. */
    override fun close()
}

/** Starts an [HttpServer] that answers with [handler]. Throws [IOException] when the port is taken. */
fun HttpServer(
    settings: ServerSettings,
    handler: HttpHandler,
): HttpServer = JettyHttpServer(settings, handler)

internal class JettyHttpServer(
    settings: ServerSettings,
    handler: HttpHandler,
) : HttpServer {
    private val server = Server(QueuedThreadPool(settings.threads).apply { isDaemon = true })
    private val connector = ServerConnector(server, HttpConnectionFactory(httpConfiguration(settings)))

    init {
        connector.host = settings.host
        connector.port = settings.port
        connector.idleTimeout = settings.idleTimeoutMillis
        server.addConnector(connector)
        server.handler = Http4kHandler(handler)
        server.start()
    }

    override val port: Int get() = connector.localPort

    override fun close() = server.stop()

    private fun httpConfiguration(settings: ServerSettings) =
        HttpConfiguration().apply {
            requestHeaderSize = settings.headerBytes
            sendServerVersion = false
            sendDateHeader = false
        }
}

private class Http4kHandler(
    private val handler: HttpHandler,
) : Handler.Abstract() {
    override fun handle(
        request: JettyRequest,
        response: JettyResponse,
        callback: Callback,
    ): Boolean {
        val method = METHODS[request.method]
        try {
            val answer = if (method == null) Response(Status.METHOD_NOT_ALLOWED) else handler(toHttp4k(request, method))
            send(answer, response)
            callback.succeeded()
        } catch (e: IOException) {
            callback.failed(e)
        }
        return true
    }

    private fun toHttp4k(
        request: JettyRequest,
        method: Method,
    ): Request {
        val uri = request.httpURI.pathQuery ?: "/"
        val headers = request.headers.map { it.name to it.value }
        return Request(method, uri)
            .headers(headers)
            .body(Content.Source.asInputStream(request), request.length.takeIf { it >= 0 })
    }

    private fun send(
        answer: Response,
        response: JettyResponse,
    ) {
        response.status = answer.status.code
        answer.headers.forEach { (name, value) -> response.headers.add(HttpField(name, value)) }
        val out = Content.Sink.asOutputStream(response)
        answer.body.stream.use { copy(it, out) }
        out.close()
    }

    /** Copies and flushes after every read, so that a streamed answer reaches the caller piece by piece. */
    private fun copy(
        from: InputStream,
        to: OutputStream,
    ) {
        val buffer = ByteArray(COPY_BYTES)
        while (true) {
            val n = from.read(buffer)
            if (n < 0) return
            to.write(buffer, 0, n)
            to.flush()
        }
    }

    private companion object {
        const val COPY_BYTES = 8 * 1024
        val METHODS = Method.values().associateBy { it.name }
    }
}
