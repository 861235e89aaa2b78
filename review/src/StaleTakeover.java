import java.nio.file.Files;
import java.nio.file.Path;

/** A worker is partitioned from the store, becomes the head of a group, and the controlling process is stopped in turn. */
public final class StaleTakeover {
    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review");
        Store store = new Store("127.0.0.1");
        String[] leader = {""};
        store.observer = (key, value) -> {
            if (key.equals("auburnhall/controller")) {
                leader[0] = value.split(" ")[0];
                record.line("store: " + key + " = " + value);
            }
        };
        store.put("op/config", Config.model(7));
        ModelWorker.Fleet fleet = new ModelWorker.Fleet(store, record, 500, 1_500);
        for (int i = 2; i <= 5; i++) new ModelWorker("i-" + i, fleet);
        Entry[] entries = new Entry[2];
        int internal = Entry.freePort("127.0.0.1");
        for (int i = 0; i < 2; i++) {
            entries[i] = new Entry("edge-z-a-" + (i + 1), i + 1, store.port, internal, folder);
            entries[i].start();
        }
        for (Entry entry : entries) {
            if (!entry.awaitReady()) {
                record.say("an entry process did not get ready");
                System.exit(2);
            }
        }
        if (!await(() -> open(fleet) != null, 20_000)) fail(record, "no group was opened");
        record.line("an empty worker is added: i-1");
        ModelWorker added = new ModelWorker("i-1", fleet);
        if (!await(() -> "in_service".equals(added.state), 20_000)) fail(record, "the added worker has not loaded the model");
        Thread.sleep(2_000);
        ModelWorker member = fleet.workers.get(open(fleet).members.get(1));
        if (trouble) added.cutFromStore();
        member.drain();
        long drainedAtMs = Store.now();
        if (!await(() -> "open".equals(added.state), 3_000)) fail(record, "the added worker did not become the head of a group");
        record.line(added.id + " is the open head of " + added.group + " " + (Store.now() - drainedAtMs) + " ms after the drain");
        for (Entry entry : entries) {
            if (entry.name.equals(leader[0])) {
                record.line("SIGTERM to " + entry.name + ", which leads");
                entry.terminate();
            }
        }
        Thread.sleep(9_000);
        added.healStore();
        Thread.sleep(3_000);
        record.say("TWO: " + (fleet.violations.isEmpty() ? "none" : fleet.violations.size() + ", the first: " + fleet.violations.get(0)));
        System.exit(fleet.violations.isEmpty() ? 0 : 1);
    }

    private interface Condition {
        boolean holds();
    }

    private static ModelWorker open(ModelWorker.Fleet fleet) {
        for (ModelWorker worker : fleet.workers.values()) {
            if (worker.group != null && worker.rank == 0 && "open".equals(worker.state)) return worker;
        }
        return null;
    }

    private static boolean await(Condition condition, long ms) throws InterruptedException {
        long until = Store.now() + ms;
        while (Store.now() < until) {
            if (condition.holds()) return true;
            Thread.sleep(5);
        }
        return condition.holds();
    }

    private static void fail(Record record, String text) {
        record.say(text);
        System.exit(2);
    }
}
