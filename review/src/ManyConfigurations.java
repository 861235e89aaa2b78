import java.nio.file.Files;
import java.nio.file.Path;

/** The configuration grows by many routes, eleven times; then versions come in storms of twelve, 0.33 s apart. */
public final class ManyConfigurations {
    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0], "record.txt"));
        Path folder = Files.createTempDirectory("review");
        Store store = new Store("127.0.0.1");
        int step = trouble ? 350 : 0;
        int routes = 0;
        long version = 7;
        store.put("op/config", Config.plain(version, routes));
        PlainWorker worker = new PlainWorker("i-7f3a91c2", "orders", store, record, 100, 800);
        Entry[] entries = new Entry[2];
        int internal = Entry.freePort("127.0.0.1");
        Load[] loads = new Load[2];
        for (int i = 0; i < 2; i++) {
            entries[i] = new Entry("edge-z-a-" + (i + 1), i + 1, store.port, internal, folder);
            entries[i].start();
        }
        for (int i = 0; i < 2; i++) {
            if (!entries[i].awaitReady()) {
                record.say("an entry process did not get ready");
                System.exit(2);
            }
        }
        Thread.sleep(1_000);
        for (int i = 0; i < 2; i++) loads[i] = new Load(entries[i], record, 8);
        int written = 0;
        for (int i = 0; i < 11; i++) {
            routes += step;
            version += 2;
            store.put("op/config", Config.plain(version, routes));
            record.line("operator writes version " + version + " with " + routes + " routes more");
            written++;
            Thread.sleep(330);
        }
        record.say("a configuration has " + Config.plain(version, routes).length() + " bytes");
        long until = Store.now() + 85_000;
        while (Store.now() < until && entries[0].process.isAlive() && entries[1].process.isAlive()) {
            for (int i = 0; i < 12; i++) {
                version += 1 + version % 3;
                store.put("op/config", Config.plain(version, routes));
                record.line("operator writes version " + version);
                written++;
                Thread.sleep(330);
            }
            Thread.sleep(2_000);
        }
        Thread.sleep(3_000);
        long lost = 0;
        for (int i = 0; i < 2; i++) {
            loads[i].stopped = true;
            long here = loads[i].unanswered.stream().filter(worker.begun::contains).count();
            record.say(entries[i].name + ": small requests answered: " + loads[i].answered.get() + " " + loads[i].statuses
                + ", on kept connections passed on and without an answer: " + here);
            if (!entries[i].process.isAlive()) {
                record.say(entries[i].name + " ended by itself with status " + entries[i].process.exitValue());
            }
            lost += here;
        }
        record.say("versions written: " + written);
        record.say("LOST: requests on kept connections that were passed on and got no answer: " + lost + " (more than 3 break the rule)");
        System.exit(loads[0].answered.get() == 0 ? 2 : lost > 3 ? 1 : 0);
    }
}
