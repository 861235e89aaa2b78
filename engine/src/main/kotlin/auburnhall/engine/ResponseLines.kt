/*
 * The lines of one HTTP response. Jetty's thread hands them over as they come; one traffic thread takes them.
 */
package auburnhall.engine

import org.eclipse.jetty.client.Response
import org.eclipse.jetty.client.Result
import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** One thing that arrived. */
internal sealed interface ResponseItem {
    /** The status line and headers. */
    data class Headers(
        val status: Int,
    ) : ResponseItem

    /** One line of the body without its end. */
    data class Line(
        val text: String,
    ) : ResponseItem

    /** Nothing more comes; [failure] is null when the response was complete. */
    data class End(
        val failure: Throwable?,
    ) : ResponseItem {
        /** Why the response ended before it was expected to. */
        fun describe(): String =
            failure?.let { "the connection broke (${it.javaClass.simpleName})" } ?: "the stream ended early"
    }
}

internal class ResponseLines {
    private val items = LinkedBlockingQueue<ResponseItem>()
    private val partial = ByteArrayOutputStream()

    /** Receives the response on Jetty's threads. */
    val listener =
        object : Response.Listener {
            override fun onHeaders(response: Response) {
                items += ResponseItem.Headers(response.status)
            }

            override fun onContent(
                response: Response,
                content: ByteBuffer,
            ) = split(content)

            override fun onComplete(result: Result) {
                if (partial.size() > 0) endLine()
                items += ResponseItem.End(result.failure)
            }
        }

    /** Waits up to [millis] for the next item; null when none came. */
    fun take(millis: Long): ResponseItem? = items.poll(millis.coerceAtLeast(0), TimeUnit.MILLISECONDS)

    /** Waits up to [millis] for each further line and returns them joined; for the short body of a refusal. */
    fun rest(millis: Long): String {
        val text = StringBuilder()
        var item = take(millis)
        while (item != null && item !is ResponseItem.End) {
            if (item is ResponseItem.Line) text.append(item.text)
            item = take(millis)
        }
        return text.toString()
    }

    private fun split(content: ByteBuffer) {
        while (content.hasRemaining()) {
            val b = content.get().toInt()
            if (b == NEWLINE) endLine() else partial.write(b)
        }
    }

    private fun endLine() {
        items += ResponseItem.Line(partial.toString(Charsets.UTF_8).trimEnd('\r'))
        partial.reset()
    }

    private companion object {
        const val NEWLINE = '\n'.code
    }
}
