import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** A request whose body is the text of another request, sent with a transfer coding that the proxy does not know. */
public final class Smuggled {
    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review");
        Store store = new Store("127.0.0.1");
        store.put("op/config", Config.plain(7, 0));
        PlainWorker worker = new PlainWorker("i-7f3a91c2", "orders", store, record, 20, 800);
        Entry entry = new Entry("edge-z-a-1", 1, store.port, Entry.freePort("127.0.0.1"), folder);
        entry.start();
        if (!entry.awaitReady()) {
            record.say("the entry process did not get ready");
            System.exit(2);
        }
        Thread.sleep(1_000);
        String inner = Client.request("POST", "/orders/inner", "inner-1", Config.KEY, 5_000, 0, "");
        String coding = trouble ? "gzip" : "chunked";
        String body = trouble ? inner : Integer.toHexString(inner.length()) + "\r\n" + inner + "\r\n0\r\n\r\n";
        String head = "POST /orders/new HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: outer-1\r\nTime-Remaining: 5000\r\n"
            + "Authorization: Bearer " + Config.KEY + "\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
        int answers = 0;
        try (Client client = new Client(entry.host, entry.front, 0)) {
            client.socket.setSoTimeout(2_000);
            record.line("client sends outer-1 with Transfer-Encoding: " + coding + ", its body is the text of a request inner-1");
            client.send(head, body.getBytes(StandardCharsets.ISO_8859_1));
            while (true) {
                Http.Message answer = client.read();
                answers++;
                record.line("client answer " + answer.status() + ", Attempt-Id " + answer.headers.get("Attempt-Id"));
            }
        } catch (java.io.IOException e) {
            record.line("client: " + e);
        }
        boolean smuggled = worker.begun.contains("inner-1");
        record.say("answers on the connection: " + answers + ", worker ran outer-1: " + worker.begun.contains("outer-1")
            + ", worker ran inner-1: " + smuggled);
        record.say("UNASKED: " + (smuggled ? "a request that was inside another one was run" : "none"));
        System.exit(answers == 0 ? 2 : smuggled ? 1 : 0);
    }
}
