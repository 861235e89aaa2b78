import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One entry process, started with the command of the deploy file on a loopback address of its own. */
final class Entry {
    private static final List<Process> STARTED = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Entry::end));
    }

    private static volatile Path folder;

    /** Ends all processes that were started, and removes their folder. */
    private static void end() {
        STARTED.forEach(Process::destroyForcibly);
        try {
            for (Process process : STARTED) process.waitFor(5, TimeUnit.SECONDS);
            java.io.File[] files = folder == null ? null : folder.toFile().listFiles();
            if (files != null) for (java.io.File file : files) file.delete();
            if (folder != null) folder.toFile().delete();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    final String name;
    final String host;
    final int front;
    final int ready;
    final Path log;
    Process process;
    private final Path settings;

    Entry(String name, int number, int storePort, int internalPort, Path folder) throws Exception {
        this.name = name;
        Entry.folder = folder;
        host = host(number);
        front = freePort(host);
        ready = freePort(host);
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        Files.writeString(settings, settings(storePort, internalPort));
    }

    /** Starts the process; its log is appended to. */
    void start() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(Path.of("").toAbsolutePath().toFile());
        builder.environment().put("AUBURNHALL_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        STARTED.add(process);
    }

    /** Waits until the process says that it is ready; false if it does not. */
    boolean awaitReady() throws Exception {
        for (int i = 0; i < 200 && process.isAlive(); i++) {
            try (Client client = new Client(host, ready, 0)) {
                client.socket.setSoTimeout(1_000);
                client.send("GET /auburnhall/readiness HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]);
                if (client.read().status() == 200) return true;
            } catch (java.io.IOException e) {
                // It does not listen yet.
            }
            Thread.sleep(100);
        }
        System.out.println(name + (process.isAlive() ? " runs" : " ended with status " + process.exitValue()) + "; the end of its log:");
        List<String> lines = Files.readAllLines(log);
        lines.subList(Math.max(0, lines.size() - 5), lines.size()).forEach(System.out::println);
        return false;
    }

    boolean awaitExit(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    private static List<String> command() throws Exception {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return new ArrayList<>(List.of(line.substring(7, line.lastIndexOf('"')).split(" ")));
            }
        }
        throw new IllegalStateException("deploy/system.toml has no command");
    }

    private static final int NET = 16 + (int) (System.nanoTime() / 1000 % 200);

    static String host(int number) {
        return "127." + NET + ".7." + number;
    }

    static int freePort(String host) throws Exception {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0));
            return socket.getLocalPort();
        }
    }

    private String settings(int storePort, int internalPort) {
        return "{\"node_name\":\"" + name + "\",\"role\":\"entry\",\"machine_class\":\"edge\",\"serves\":[\"edge\"],"
            + "\"ip\":\"" + host + "\",\"zone\":\"z-a\",\"region\":\"z\",\"zones\":{\"z-a\":\"z\"},"
            + "\"listen\":{\"front\":\"" + host + ":" + front + "\",\"ready\":\"" + host + ":" + ready + "\"},"
            + "\"internal_ports\":[" + internalPort + "," + (internalPort + 15) + "],\"seeds\":[],\"bootstrap\":true,"
            + "\"fault_counted\":false,\"limits\":{\"cpu_share\":0.51,\"cpu_cores\":1,\"memory_mb\":352,"
            + "\"max_fds\":2118,\"link_mbps\":490.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
            + "\"entry\":\"vip\",\"heartbeat_ms\":1200,\"fault_tolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},"
            + "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\"sync_s\":4,"
            + "\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"revert_slack_ms\":250,"
            + "\"stretch_max_ms\":5000,\"strict_revoke\":false,\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,"
            + "\"budget_window_s\":10,\"retry_budget_extra\":283,\"recovery_s\":12,\"pass_ms\":120,\"retry_after_s\":0,"
            + "\"stall_ms\":6000,\"require_fence\":false,\"ceiling_window_s\":5,\"load_factor\":1.1},"
            + "\"platform\":{\"address\":\"127.0.0.1:" + storePort + "\",\"form\":\"kv\",\"writes_per_s\":400,"
            + "\"reads_per_s\":2000,\"history_s\":20,\"value_bytes\":1048576,\"ttl_min_ms\":1000}}";
    }
}
