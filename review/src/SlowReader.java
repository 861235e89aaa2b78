import java.io.EOFException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A process gets SIGTERM while a client reads a long answer at the rate of a slow link. */
public final class SlowReader {
    private static final int BODY_BYTES = 4_000_000;
    private static final int BYTES_PER_S = 1_000_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review");
        Store store = new Store("127.0.0.1");
        store.put("op/config", Config.plain(7, 0));
        PlainWorker worker = new PlainWorker("i-7f3a91c2", "orders", store, record, 20, BODY_BYTES);
        Entry entry = new Entry("edge-z-a-1", 1, store.port, Entry.freePort("127.0.0.1"), folder);
        entry.start();
        if (!entry.awaitReady()) {
            record.say("the entry process did not get ready");
            System.exit(2);
        }
        Thread.sleep(3_500);
        Client client = new Client(entry.host, entry.front, 16_384);
        long termAtMs = Store.now();
        if (trouble) {
            record.line("SIGTERM");
            entry.terminate();
        }
        Thread.sleep(2_000);
        record.line("client sends slow-1 on a connection that it opened before");
        client.send(Client.request("POST", "/orders/new", "slow-1", Config.KEY, 10_000, 100, ""), new byte[100]);
        int got = 0;
        String end = "complete";
        try {
            Http.Message head = Http.read(client.in, false);
            if (head == null) throw new EOFException("closed without an answer");
            record.line("client reads status " + head.status() + ", length " + head.headers.get("Content-Length"));
            byte[] part = new byte[20_000];
            long startMs = Store.now();
            while (got < BODY_BYTES) {
                int n = client.in.read(part);
                if (n < 0) throw new EOFException("the connection ended");
                got += n;
                long due = startMs + (long) got * 1_000 / BYTES_PER_S;
                if (due > Store.now()) Thread.sleep(due - Store.now());
            }
        } catch (java.io.IOException e) {
            end = e.toString();
        }
        long afterMs = Store.now() - termAtMs;
        record.say("client got " + got + " of " + BODY_BYTES + " bytes: " + end + ", " + afterMs + " ms after " + (trouble ? "SIGTERM" : "its start"));
        boolean passedOn = worker.begun.contains("slow-1");
        if (trouble) record.say("the process has " + (entry.awaitExit(8_000) ? "ended" : "not ended"));
        if (!passedOn) {
            record.say("the request was not passed on");
            System.exit(2);
        }
        boolean lost = got < BODY_BYTES && afterMs < 9_000;
        record.say("LOST around planned work: " + (lost ? "a request that was passed on got no complete answer" : "none"));
        System.exit(lost ? 1 : 0);
    }
}
