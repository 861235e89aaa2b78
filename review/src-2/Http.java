import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 with one thread for each connection. */
final class Http {
    private Http() {}

    /** A request or a response as it was received. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return startLine.split(" ")[0];
        }

        String uri() {
            return startLine.split(" ")[1];
        }

        String path() {
            return uri().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Serves the requests of one connection; returns whether the connection goes on. */
    interface Handler {
        boolean onRequest(Message request, Exchange exchange) throws IOException, InterruptedException;
    }

    /** The connection on which a request came. */
    static class Exchange {
        final Socket socket;
        final OutputStream out;

        Exchange(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void send(int status, Map<String, String> headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(bytes);
            out.write(all.toByteArray());
            out.flush();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
        }

        /** Ends the connection with a reset, as a process that crashes does. */
        void reset() {
            Http.reset(socket);
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    /** A listening server. */
    static final class Server {
        private final String host;
        private int port;
        private final Handler handler;
        private volatile ServerSocket socket;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        Server(String host, Handler handler) throws IOException {
            this(host, 0, handler);
        }

        Server(String host, int port, Handler handler) throws IOException {
            this.host = host;
            this.port = port;
            this.handler = handler;
            listen();
            this.port = socket.getLocalPort();
        }

        int port() {
            return port;
        }

        String address() {
            return host + ":" + port;
        }

        /** Begins to listen, again at the same port after {@link #refuse} or {@link #crash}. */
        void listen() throws IOException {
            ServerSocket listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(host, port), 512);
            socket = listening;
            Thread thread = new Thread(() -> accept(listening), "server");
            thread.setDaemon(true);
            thread.start();
        }

        /** Refuses new connections until {@link #listen} is called; those that are open live on. */
        void refuse() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }

        /** Stops listening and resets all connections. */
        void crash() {
            refuse();
            connections.forEach(Http::reset);
            connections.clear();
        }

        private void accept(ServerSocket listening) {
            while (!listening.isClosed()) {
                try {
                    Socket accepted = listening.accept();
                    accepted.setTcpNoDelay(true);
                    connections.add(accepted);
                    Thread thread = new Thread(() -> serve(accepted), "connection");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    // Closed, or the next connection is accepted.
                }
            }
        }

        private void serve(Socket accepted) {
            try (accepted) {
                InputStream in = new BufferedInputStream(accepted.getInputStream());
                Exchange exchange = new Exchange(accepted);
                while (true) {
                    Message request = read(in, false);
                    if (request == null || !handler.onRequest(request, exchange)) break;
                }
            } catch (IOException | InterruptedException | RuntimeException e) {
                // The peer has left, or the stand-in ends the connection.
            } finally {
                connections.remove(accepted);
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("within a line");
            }
            if (next == '\n') break;
            if (next != '\r') out.write(next);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message; null if the connection has ended. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.startLine = line(in);
        if (message.startLine == null) return null;
        for (String next = line(in); next == null || !next.isEmpty(); next = line(in)) {
            if (next == null) throw new EOFException("within a head");
            int colon = next.indexOf(':');
            if (colon < 0) throw new IOException("no header: " + next);
            message.headers.put(next.substring(0, colon).trim(), next.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a message with a length or in chunks; null if the connection has ended before it. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) break;
                body.write(chunk);
            }
        } else if (message.headers.containsKey("Content-Length")) {
            int length = Integer.parseInt(message.headers.get("Content-Length"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) throw new EOFException("within a body");
            body.write(bytes);
        } else if (response) {
            body.write(in.readAllBytes());
        }
        message.body = body.toByteArray();
        return message;
    }

    /** Reads one chunk; empty for the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new EOFException("no last chunk");
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("within a chunk");
        line(in);
        return bytes;
    }
}
