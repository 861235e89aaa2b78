import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the command of the deploy file. */
final class Entry {
    private static final List<Entry> STARTED = new ArrayList<>();
    final String name;
    final String ip;
    private final String zone;
    private final Path folder;
    private final int[] ports;
    private final String storeAddress;
    private boolean bootstrap = true;
    private Process process;
    private int starts;

    Entry(Path folder, String name, String ip, String zone, int[] ports, String storeAddress) {
        this.folder = folder;
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        this.ports = ports;
        this.storeAddress = storeAddress;
        STARTED.add(this);
    }

    /** Four ports that are free at each of the addresses. */
    static int[] freePorts(String... ips) throws IOException {
        int[] ports = new int[4];
        for (int i = 0; i < ports.length; i++) {
            while (ports[i] == 0) {
                int candidate;
                try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(ips[0]))) {
                    candidate = probe.getLocalPort();
                }
                boolean free = true;
                for (String ip : ips) free &= isFree(ip, candidate);
                if (free) ports[i] = candidate;
            }
        }
        return ports;
    }

    static boolean isFree(String ip, int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    String front() {
        return ip + ":" + ports[0];
    }

    int frontPort() {
        return ports[0];
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    void start() throws IOException {
        Map<String, Object> bounds = Json.map("seed_lag_s", 3L, "reuse_after_s", 2L, "contact_ms", 3000L,
            "ack_ms", 4000L, "sync_s", 4L, "drain_ms", 2000L, "grace_s", 8L, "loss_slack_ms", 200L,
            "config_apply_ms", 2000L, "revert_slack_ms", 250L, "stretch_max_ms", 5000L, "strict_revoke", false,
            "revoke_ms", 5000L, "retry_budget_ratio", 0.2, "budget_window_s", 10L, "retry_budget_extra", 302L,
            "recovery_s", 12L, "pass_ms", 120L, "retry_after_s", 0L, "stall_ms", 6000L, "require_fence", false,
            "ceiling_window_s", 5L, "load_factor", 1.1);
        Map<String, Object> settings = Json.map("node_name", name, "role", "entry", "machine_class", "edge",
            "serves", List.of("edge"), "ip", ip, "zone", zone, "region", "r", "zones", Json.map(zone, "r"),
            "listen", Json.map("front", ip + ":" + ports[0], "ready", ip + ":" + ports[1]),
            "internal_ports", List.of((long) ports[2], (long) ports[3]), "seeds", List.of(), "bootstrap", bootstrap,
            "fault_counted", false,
            "limits", Json.map("cpu_share", 0.51, "cpu_cores", 1L, "memory_mb", 352L, "max_fds", 2069L),
            "data_dir", null, "discovery", "platform", "entry", "vip", "heartbeat_ms", 1200L,
            "contracts", List.of("base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                "platform", "gangs"),
            "fault_tolerance", Json.map("machines", 2L, "zones", 0L, "regions", 0L), "bounds", bounds,
            "platform", Json.map("address", storeAddress, "form", "kv", "writes_per_s", 400L, "reads_per_s", 2000L,
                "history_s", 20L, "value_bytes", 1048576L, "ttl_min_ms", 1000L));
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Json.write(settings));
        bootstrap = false;
        ProcessBuilder builder = new ProcessBuilder(command());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("AUBURNHALL_BOOT", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        process = builder.start();
        starts++;
    }

    /** The command of the deploy file, split at spaces. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(words.split(" +"));
            }
        }
        throw new IOException("no command in deploy/system.toml");
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** The status of the readiness check; 0 without an answer. */
    int readiness() {
        try (Socket socket = new Socket(ip, ports[1])) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                .write(("GET /auburnhall/readiness HTTP/1.1\r\nHost: " + ip + "\r\n\r\n").getBytes());
            Http.Message answer = Http.read(socket.getInputStream(), true);
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Lines of its log that contain one of the words. */
    List<String> logLines(String... words) throws IOException {
        List<String> found = new ArrayList<>();
        if (!new File(log().toString()).exists()) return found;
        for (String line : Files.readAllLines(log())) {
            for (String word : words) {
                if (line.contains(word)) {
                    found.add(line);
                    break;
                }
            }
        }
        return found;
    }

    static void stopAll() {
        for (Entry entry : STARTED) {
            if (entry.process == null) continue;
            entry.process.destroyForcibly();
            try {
                entry.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
