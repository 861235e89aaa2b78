/*
 * Network address of a process, a worker or the store.
 */
package auburnhall.core

/** An IP address and a port, from 0 to 65535; listening on port 0 lets the operating system choose a free port. */
data class Address(
    val host: String,
    val port: Int,
) {
    override fun toString() = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `HOST:PORT`; null if [text] does not have that form. */
        fun parse(text: String): Address? {
            val host = text.substringBeforeLast(':', "")
            val port = text.substringAfterLast(':', "").toIntOrNull()
            return if (host.isEmpty() || port == null || port !in 0..MAX_PORT) null else Address(host, port)
        }
    }
}
