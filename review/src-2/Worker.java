import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A worker as PROTOCOL.md describes it: joins groups, streams events as the head of an open group, or answers requests
 * of a plain service. Each start is a new incarnation with a new id.
 */
final class Worker implements Http.Handler {
    /** What all workers of a site share. */
    static final class Site {
        final Store store;
        /** Workers that are up, by id. */
        final Map<String, Worker> up = new ConcurrentHashMap<>();
        /** The part of a prompt that crashes each worker that begins to write an answer on it. */
        volatile String crashingPart = "none";
        /** For how long a crashed worker is down. */
        volatile long downMs = 5_000;
        /** Called when a worker begins to run a request. */
        volatile java.util.function.BiConsumer<String, Worker> onRun = (attempt, worker) -> {};
        /** Called when a worker has crashed. */
        volatile java.util.function.Consumer<Worker> onCrash = worker -> {};
        /** Whether the application turns an order down once it has run it: with 409, which says nothing of "not run". */
        volatile java.util.function.Predicate<String> turnsDown = attempt -> false;
        volatile int events = 10;
        volatile long eventMs = 60;

        Site(Store store) {
            this.store = store;
        }
    }

    private record Group(String name, long epoch, String model, List<String> members, String state) {
        Group in(String next) {
            return new Group(name, epoch, model, members, next);
        }
    }

    static final long STALL_MS = 6_000;
    private static final long HEARTBEAT_MS = 1_200;
    private static int starts = 0;
    private final Site site;
    final String service;
    private final String zone;
    private final String domain;
    final Http.Server server;
    volatile String id;
    private long born;
    private int life;
    private boolean down;
    private boolean draining;
    private Group group;
    private long highestEpoch;
    private String lastModel;
    private final List<String> staged = new ArrayList<>();
    private long sequence;
    private long incompleteSinceNs;

    /** Listens at the same port of another address, too: the path of one process to this worker. */
    Http.Server path(String host) throws IOException {
        return new Http.Server(host, server.port(), this);
    }

    Worker(Site site, String host, String service, String zone, String domain) throws IOException {
        this.site = site;
        this.service = service;
        this.zone = zone;
        this.domain = domain;
        server = new Http.Server(host, this);
        start();
    }

    private synchronized void start() {
        id = String.format("i-%s%04x", domain == null ? "a" : "c", ++starts);
        born = System.currentTimeMillis();
        life++;
        down = false;
        draining = false;
        group = null;
        highestEpoch = 0;
        lastModel = null;
        sequence = 0;
        site.up.put(id, this);
        publish();
    }

    /** Crashes: all connections are reset and nothing listens; the entry goes after three heartbeats of silence. */
    void crash(long downMs) {
        String former;
        synchronized (this) {
            if (down) return;
            down = true;
            former = id;
            site.up.remove(former);
        }
        server.crash();
        site.onCrash.accept(this);
        after(3 * HEARTBEAT_MS, () -> site.store.remove("servers/" + former));
        after(downMs, () -> {
            try {
                server.listen();
                start();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** Says that it leaves, serves for {@code serveMs} more, and is gone for good. */
    void drain(long serveMs) {
        String former;
        synchronized (this) {
            draining = true;
            former = id;
            publish();
        }
        after(serveMs, () -> {
            synchronized (this) {
                down = true;
                site.up.remove(former);
            }
            site.store.remove("servers/" + former);
            server.crash();
        });
    }

    static void after(long ms, Runnable task) {
        Thread thread = new Thread(() -> {
            try {
                Thread.sleep(ms);
                task.run();
            } catch (InterruptedException e) {
                // The stand-in ends.
            }
        }, "timer");
        thread.setDaemon(true);
        thread.start();
    }

    synchronized boolean isOpenHead() {
        return !down && group != null && group.state.equals("open") && group.members.get(0).equals(id);
    }

    private synchronized Map<String, Object> state() {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", server.address());
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", 18);
        entry.put("state", draining ? "draining" : "in_service");
        entry.put("cold_remaining_ms", 0L);
        entry.put("born", born);
        entry.put("sequence", sequence);
        if (domain == null) return entry;
        entry.put("stage", "both");
        List<Object> models = new ArrayList<>();
        if (lastModel != null) models.add(Json.map("name", lastModel, "version", 1L, "adapters", List.of()));
        entry.put("models", models);
        entry.put("domain", domain);
        entry.put("staged", List.copyOf(staged));
        if (group != null) {
            long rank = group.members.indexOf(id);
            entry.put("group", Json.map("name", group.name, "epoch", group.epoch, "rank", rank, "state", group.state));
        }
        return entry;
    }

    /** Writes its entry again, as after a restore of the store. */
    synchronized void rewrite() {
        publish();
    }

    private synchronized void publish() {
        if (!down) site.store.put("servers/" + id, Json.write(state()));
    }

    /** Whether all members are there; a group that lacks one stands still, and is broken after a while. */
    private boolean moves() {
        Group current;
        synchronized (this) {
            current = group;
        }
        if (current == null) return false;
        for (String member : current.members) {
            Worker worker = site.up.get(member);
            if (worker == null) return standsStill();
            synchronized (worker) {
                Group theirs = worker.group;
                if (theirs == null || !theirs.name.equals(current.name) || theirs.epoch != current.epoch) {
                    return standsStill();
                }
            }
        }
        incompleteSinceNs = 0;
        return true;
    }

    private boolean standsStill() {
        if (incompleteSinceNs == 0) incompleteSinceNs = System.nanoTime();
        if (System.nanoTime() - incompleteSinceNs > STALL_MS * 1_000_000) {
            synchronized (this) {
                if (group != null && group.state.equals("open")) {
                    group = group.in("broken");
                    publish();
                }
            }
        }
        return false;
    }

    @Override
    public boolean onRequest(Http.Message request, Http.Exchange exchange) throws IOException, InterruptedException {
        String attempt = request.headers.getOrDefault("Attempt-Id", "");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Attempt-Id", attempt);
        headers.put("Instance-Id", id);
        String expected = request.headers.get("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            exchange.send(421, headers, "");
            return true;
        }
        switch (request.path()) {
            case "/health" -> exchange.send(200, headers, "");
            case "/auburnhall/report" -> exchange.send(200, Map.of("Content-Type", "application/json"), report());
            case "/auburnhall/order" -> exchange.send(order(Json.object(request.text())), Map.of(), "{}");
            default -> {
                if (domain != null) return stream(request, exchange, headers, attempt);
                site.onRun.accept(attempt, this);
                Thread.sleep(20);
                if (site.turnsDown.test(attempt)) {
                    exchange.send(409, headers, "{\"error\":\"out of stock\"}");
                    return true;
                }
                headers.put("Response-Stamp", id + "." + attempt);
                exchange.send(200, headers, "{\"order\":\"" + attempt + "\"}");
            }
        }
        return true;
    }

    private synchronized String report() {
        Map<String, Object> report = state();
        report.put("pace", 1.0);
        return Json.write(report);
    }

    @SuppressWarnings("unchecked")
    private synchronized int order(Map<String, Object> order) {
        String name = (String) order.get("group");
        Object epochValue = order.get("epoch");
        long epoch = epochValue == null ? 0 : ((Number) epochValue).longValue();
        boolean own = group != null && group.name.equals(name) && group.epoch == epoch;
        int life = this.life;
        switch ((String) order.get("operation")) {
            case "join" -> {
                List<String> members = (List<String>) order.get("members");
                if (epoch < highestEpoch || (own && !group.members.equals(members))) return 412;
                if (own) return 200;
                highestEpoch = epoch;
                sequence++;
                String model = (String) order.get("model");
                Group joining = new Group(name, epoch, model, members, "joining");
                long ms = model.equals(lastModel) ? 200 : 300;
                group = joining;
                publish();
                after(ms, () -> {
                    synchronized (this) {
                        if (group != joining || this.life != life) return;
                        lastModel = model;
                        if (!staged.contains(model)) staged.add(model);
                        group = joining.in("in_service");
                        publish();
                    }
                });
                return 202;
            }
            case "open" -> {
                if (!own || !group.members.get(0).equals(id)) return 409;
                if (group.state.equals("open")) return 200;
                if (!group.state.equals("in_service")) return 409;
                sequence++;
                Group opening = group;
                after(300, () -> {
                    synchronized (this) {
                        if (group != opening || this.life != life) return;
                        group = opening.in("open");
                        incompleteSinceNs = 0;
                        publish();
                    }
                });
                return 202;
            }
            case "close" -> {
                if (!own) return 409;
                group = group.in("in_service");
                publish();
                return 200;
            }
            case "leave" -> {
                if (!own) return 200;
                sequence++;
                group = null;
                publish();
                return 200;
            }
            case "stage" -> {
                String model = (String) order.get("model");
                if (staged.contains(model)) return 200;
                after(300, () -> {
                    synchronized (this) {
                        if (!staged.contains(model)) staged.add(model);
                        publish();
                    }
                });
                return 202;
            }
            default -> {
                return 400;
            }
        }
    }

    private boolean stream(Http.Message request, Http.Exchange exchange, Map<String, String> headers, String attempt)
        throws IOException, InterruptedException {
        Group served;
        synchronized (this) {
            served = group;
            if (served == null || !served.members.get(0).equals(id) || !served.state.equals("open")) {
                boolean broken = served != null && served.state.equals("broken");
                headers.put("Not-Executed", "1");
                exchange.send(broken ? 503 : 421, headers, "");
                return true;
            }
        }
        int life = this.life;
        int from = Integer.parseInt(request.headers.getOrDefault("Last-Event-Id", "0"));
        boolean began = false;
        long waitedNs = System.nanoTime();
        for (int number = from + 1; number <= site.events; number++) {
            Thread.sleep(site.eventMs);
            while (!moves()) {
                if (this.life != life || down) return false;
                if (System.nanoTime() - waitedNs > (STALL_MS + 500) * 1_000_000) return false;
                Thread.sleep(20);
            }
            if (!began) {
                began = true;
                site.onRun.accept(attempt, this);
                headers.put("Response-Stamp", id + "." + attempt);
                headers.put("Content-Type", "text/event-stream");
                headers.put("Weight-Versions", "1");
                headers.put("Keep-Alive", "timeout=1");
                StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
                headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
                exchange.write(head + "Transfer-Encoding: chunked\r\n\r\n");
                if (request.headers.getOrDefault("Prompt-Prefix", "").contains(site.crashingPart + ":")) {
                    crash(site.downMs);
                    return false;
                }
            }
            exchange.chunk("id: " + number + "\ndata: " + attempt + " " + number + "\n\n");
            waitedNs = System.nanoTime();
        }
        exchange.write("0\r\n\r\n");
        return true;
    }
}
