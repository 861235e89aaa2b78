import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
final class Client implements Closeable {
    final Socket socket = new Socket();
    final InputStream in;

    /** Connects; [receiveBytes] limits the receive buffer, 0 for the usual one. */
    Client(String host, int port, int receiveBytes) throws IOException {
        if (receiveBytes > 0) socket.setReceiveBufferSize(receiveBytes);
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1_000);
        socket.setSoTimeout(30_000);
        in = new BufferedInputStream(socket.getInputStream(), 4_096);
    }

    void send(String head, byte[] body) throws IOException {
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[bytes.length + body.length];
        System.arraycopy(bytes, 0, all, 0, bytes.length);
        System.arraycopy(body, 0, all, bytes.length, body.length);
        socket.getOutputStream().write(all);
    }

    /** Reads a whole answer; fails if the connection ends before it is complete. */
    Http.Message read() throws IOException {
        Http.Message message = Http.read(in, true);
        if (message == null) throw new EOFException("closed without an answer");
        return message;
    }

    static String request(String method, String path, String id, String key, long timeMs, int length, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nTime-Remaining: " + timeMs
            + "\r\nAuthorization: Bearer " + key + "\r\n" + more
            + (length > 0 || method.equals("POST") ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
