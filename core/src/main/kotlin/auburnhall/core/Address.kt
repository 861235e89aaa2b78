/*
 * Network addresses as the settings and the store give them.
 */
package auburnhall.core

/** An IP address and a port, from 0 to 65535; at port 0 the system chooses one to listen at. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString() = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Reads `HOST:PORT`; null when [text] is not of that form. */
        fun parse(text: String): Address? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':', "").toIntOrNull()
            return if (host.isEmpty() || port == null || port !in 0..MAX_PORT) null else Address(host, port)
        }
    }
}
