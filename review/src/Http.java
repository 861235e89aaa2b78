import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 server and client on loopback sockets, one thread for each connection. */
final class Http {
    private Http() {}

    /** The head of a request or response, with its body where that was read. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return first.split(" ")[0];
        }

        String uri() {
            return first.split(" ")[1];
        }

        String path() {
            return uri().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String query(String name) {
            int mark = uri().indexOf('?');
            if (mark < 0) return null;
            for (String pair : uri().substring(mark + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Answers [request] on [out]; returns whether the connection is kept. */
        boolean handle(Message request, OutputStream out, Socket socket) throws Exception;
    }

    /** Serves [handler] at a free port of [host] until the program ends; returns the port. */
    static int serve(String host, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 512);
        thread("server", () -> {
            while (true) {
                Socket socket = server.accept();
                thread("connection", () -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
                        OutputStream out = socket.getOutputStream();
                        while (true) {
                            Message request = read(in, true);
                            if (request == null || !handler.handle(request, out, socket)) return;
                        }
                    } catch (IOException e) {
                        // The peer has closed or reset the connection.
                    }
                });
            }
        });
        return server.getLocalPort();
    }

    static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    /** Reads a message; null at the end of the connection before its first byte. */
    static Message read(InputStream in, boolean withBody) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Message message = new Message();
        message.first = first;
        while (true) {
            String line = line(in);
            if (line == null) throw new EOFException("end within the head");
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (withBody) message.body = body(in, message);
        return message;
    }

    static byte[] body(InputStream in, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = chunk(in);
                if (chunk.length == 0) return out.toByteArray();
                out.write(chunk);
            }
        }
        String length = message.headers.get("Content-Length");
        if (length == null) return new byte[0];
        byte[] bytes = in.readNBytes(Integer.parseInt(length));
        if (bytes.length < Integer.parseInt(length)) throw new EOFException("end within the body: " + bytes.length);
        return bytes;
    }

    /** Reads one chunk; an empty one is the last. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new EOFException("end between chunks");
        int length = Integer.parseInt(size.trim(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("end within a chunk");
        line(in);
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("end within a line");
            }
            if (b == '\n') return out.toString(StandardCharsets.ISO_8859_1);
            if (b != '\r') out.write(b);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                System.err.println(name + ": " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
