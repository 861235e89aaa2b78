import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Clients send requests within max_body_bytes, one after the other, each on a connection that it keeps. */
public final class LargeRequests {
    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review");
        Store store = new Store("127.0.0.1");
        store.put("op/config", Config.plain(7, 0));
        PlainWorker worker = new PlainWorker("i-7f3a91c2", "orders", store, record, 100, 800);
        Entry entry = new Entry("edge-z-a-1", 1, store.port, Entry.freePort("127.0.0.1"), folder);
        entry.start();
        if (!entry.awaitReady()) {
            record.say("the entry process did not get ready");
            System.exit(2);
        }
        Thread.sleep(1_000);
        Load load = new Load(entry, record, 8);
        Thread.sleep(3_000);
        int bytes = trouble ? 4_000_000 : 4_000;
        List<Client> kept = new ArrayList<>();
        int served = 0;
        for (int number = 0; number < 40 && entry.process.isAlive(); number++) {
            String id = "large-" + number;
            try {
                Client client = new Client(entry.host, entry.front, 0);
                kept.add(client);
                record.line("client sends " + id + " with a body of " + bytes + " bytes");
                client.send(Client.request("POST", "/orders/new", id, Config.KEY, 5_000, bytes, ""), new byte[bytes]);
                int status = client.read().status();
                record.line("client answer " + status + " to " + id);
                if (status == 200) served++;
            } catch (java.io.IOException e) {
                record.line("client no answer to " + id + ": " + e);
            }
        }
        entry.awaitExit(2_000);
        boolean ended = !entry.process.isAlive();
        Thread.sleep(500);
        load.stopped = true;
        long lost = load.unanswered.stream().filter(worker.begun::contains).count();
        record.say("large requests answered with 200: " + served + ", small ones answered: " + load.answered.get() + " " + load.statuses);
        if (ended) record.say("the entry process ended by itself with status " + entry.process.exitValue());
        record.say("LOST: requests on kept connections that were passed on and got no answer: " + lost + " (more than 3 break the rule)");
        System.exit(served == 0 && !ended ? 2 : lost > 3 ? 1 : 0);
    }
}
