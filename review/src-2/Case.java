import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What the scripts share: a site on loopback, the processes, the record and the end. */
abstract class Case {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    /** The run is broken off and counts as one that could not run after this time. */
    private static final long LONGEST_MS = 112_000;
    final long startNs = System.nanoTime();
    final List<Client.Result> results = Collections.synchronizedList(new ArrayList<>());
    private final List<String> notes = Collections.synchronizedList(new ArrayList<>());
    /** The attempts that began to run, and where. */
    final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    final List<Entry> entries = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    Store store;
    Worker.Site site;
    private Path folder;
    private final String net = freeNet();

    /** Plays the case; true if the rule held. */
    abstract boolean play() throws Exception;

    static void main(Case played, String recordFolder) throws Exception {
        int[] status = {2};
        Thread guard = new Thread(() -> {
            try {
                Thread.sleep(LONGEST_MS);
            } catch (InterruptedException e) {
                return;
            }
            played.note("broken off: it took too long");
            Entry.stopAll();
            played.write(Path.of(recordFolder), 2);
            Runtime.getRuntime().halt(2);
        });
        guard.setDaemon(true);
        guard.start();
        Runtime.getRuntime().addShutdownHook(new Thread(Entry::stopAll));
        try {
            played.folder = Files.createTempDirectory("review-2-");
            status[0] = played.play() ? 0 : 1;
        } catch (Exception | AssertionError e) {
            played.note("the case could not run: " + e);
        } finally {
            Entry.stopAll();
            if (System.getenv("REVIEW_LOGS") != null) {
                for (Entry entry : played.entries) {
                    Files.copy(entry.log(), Path.of(System.getenv("REVIEW_LOGS"), entry.name + ".log"),
                        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
            played.write(Path.of(recordFolder), status[0]);
            played.deleteFolder();
        }
        System.exit(status[0]);
    }

    /** The beginning of loopback addresses at which no other run has processes; they listen at port 9464, too. */
    private static String freeNet() {
        while (true) {
            String net = "127." + (60 + (int) (Math.random() * 150)) + "." + (1 + (int) (Math.random() * 120)) + ".";
            if (Entry.isFree(net + "11", 9464) && Entry.isFree(net + "12", 9464)) return net;
        }
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    void note(String text) {
        String line = String.format("%6d ms %s", nowMs(), text);
        notes.add(line);
        System.out.println(line);
    }

    String ip(int last) {
        return net + last;
    }

    private void write(Path to, int status) {
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(to.resolve("record.txt")))) {
            out.println("TROUBLE=" + (TROUBLE ? 1 : 0) + ", exit status " + status);
            out.println("== what was done and seen");
            synchronized (notes) {
                notes.forEach(out::println);
            }
            out.println("== attempts in the order of their sending, and the workers that began to run them");
            List<Client.Result> sorted;
            synchronized (results) {
                sorted = new ArrayList<>(results);
            }
            sorted.sort(Comparator.comparingLong(result -> result.sentMs));
            sorted.forEach(result -> out.println(result + " | ran at " + runs.getOrDefault(result.attempt, List.of())));
        } catch (IOException e) {
            System.out.println("no record: " + e);
        }
    }

    private void deleteFolder() throws IOException {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(folder);
    }

    /** Starts the store and writes the configuration. */
    void startStore(String configuration) throws IOException {
        store = new Store(ip(1));
        store.put("op/config", configuration);
        site = new Worker.Site(store);
        site.onRun = (attempt, worker) -> runs
            .computeIfAbsent(attempt, key -> Collections.synchronizedList(new ArrayList<>())).add(worker.id);
    }

    void startEntries(int count, String zone) throws IOException {
        List<String> stores = Collections.nCopies(count, store.server.address());
        startEntries(zone, stores);
    }

    /** Starts a process for each address of the store. */
    void startEntries(String zone, List<String> stores) throws IOException {
        int count = stores.size();
        String[] ips = new String[count];
        for (int i = 0; i < count; i++) ips[i] = ip(11 + i);
        int[] ports = Entry.freePorts(ips);
        for (int i = 0; i < count; i++) {
            Entry entry = new Entry(folder, "edge-" + zone + "-" + (i + 1), ips[i], zone, ports, stores.get(i));
            entries.add(entry);
            entry.start();
        }
    }

    /** Waits until the condition holds. */
    void await(String what, long timeoutMs, java.util.function.BooleanSupplier condition) throws InterruptedException {
        long endMs = nowMs() + timeoutMs;
        while (!condition.getAsBoolean()) {
            if (nowMs() > endMs) throw new AssertionError("in vain for " + what);
            Thread.sleep(20);
        }
        note(what);
    }

    long openHeads() {
        return workers.stream().filter(Worker::isOpenHead).count();
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    Thread spawn(Runnable task) {
        Thread thread = new Thread(task, "client");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The address by which the first machine reaches a worker, so that its path can be cut alone. */
    static String otherPath(String address) {
        int dot = address.lastIndexOf('.');
        int colon = address.indexOf(':');
        int last = Integer.parseInt(address.substring(dot + 1, colon)) + 100;
        return address.substring(0, dot + 1) + last + address.substring(colon);
    }

    /** An attempt id. */
    String attempt(String kind, int number) {
        return String.format("%s%08x", kind, number);
    }

    static String model(int size) {
        return "{\"name\":\"daka510000\",\"size\":" + size
            + ",\"share\":1.0,\"pace\":1.0,\"load_s\":3.0,\"warm_s\":0.3}";
    }

    static String engineService(int size) {
        return "{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_connections\":823,\"protocol\":\"h1\","
            + "\"tls\":false,\"engine\":{\"slots\":18,\"kv_capacity_tokens\":1710000,\"stride\":6,\"models\":["
            + model(size) + "],\"step_ms\":6.45,\"per_seq_ms\":0.14,\"context_per_k\":0.004,\"read_per_s\":56100.0,"
            + "\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":5.5,\"loads_at_once\":8,\"retained\":1,"
            + "\"form_ms\":300.0}}";
    }

    static String plainService() {
        return plainService("wuno96b");
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":105,\"protocol\":\"h1\","
            + "\"tls\":false}";
    }

    static String streamRoute() {
        return "{\"name\":\"r-stream\",\"host\":\"ficu95.example\",\"prefix\":\"/lohu930/\",\"kind\":\"streaming\","
            + "\"timeout_ms\":8000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"huvo11a\","
            + "\"max_attempts\":2,\"anonymous\":false,\"session_affinity\":true,\"stream_resume\":true,"
            + "\"gap_target_ms\":250}";
    }

    static String orderRoute() {
        return orderRoute("wuno96b");
    }

    static String orderRoute(String service) {
        return "{\"name\":\"r-order\",\"host\":\"ficu95.example\",\"prefix\":\"/puxa403/\",\"kind\":\"non_idempotent\","
            + "\"timeout_ms\":1500,\"target_latency_ms\":200,\"priority\":2,\"service\":\"" + service + "\","
            + "\"max_attempts\":2,\"anonymous\":false}";
    }

    static String configuration(int version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
            + "\"api_keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1}]}";
    }

    /** Sends a stream with these parts of the prompt. */
    Client.Result stream(Entry entry, String kind, int number, String parts) {
        String attempt = attempt(kind, number);
        Client.Result result = Client.call(entry, kind, attempt, "POST", "/lohu930/2f",
            Map.of("Model", "daka510000", "Token-Count", "700,60", "Prompt-Prefix", parts), "{}", 8_000, startNs);
        results.add(result);
        return result;
    }

    Client.Result order(Entry entry, String kind, int number) {
        Client.Result result = Client.call(entry, kind, attempt(kind, number), "POST", "/puxa403/2f", Map.of(), "{}",
            1_500, startNs);
        results.add(result);
        return result;
    }

    Set<String> ran() {
        return runs.keySet();
    }
}
