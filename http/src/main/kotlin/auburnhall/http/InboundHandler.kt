/*
 * Base of the handlers of a connection, each of which belongs to one connection only. Netty would otherwise read the
 * annotations of each handler's class to find that out, which takes long when a process starts.
 */
package auburnhall.http

import io.netty.channel.ChannelInboundHandlerAdapter

/** A handler that is not shared by connections. */
internal abstract class InboundHandler : ChannelInboundHandlerAdapter() {
    override fun isSharable() = false
}
