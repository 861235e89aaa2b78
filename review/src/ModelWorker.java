import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** A sound model worker: carries out orders as PROTOCOL.md describes them, and reports itself in the store. */
final class ModelWorker {
    private static final long BEAT_MS = 1_200;
    private static final long FORM_MS = 300;
    private static final long WARM_JOIN_MS = 200;

    /** All workers of the deployment, and what breaks a rule. */
    static final class Fleet {
        final Map<String, ModelWorker> workers = new ConcurrentHashMap<>();
        final List<String> violations = java.util.Collections.synchronizedList(new ArrayList<>());
        final Store store;
        final Record record;
        final long stageMs;
        final long loadMs;

        Fleet(Store store, Record record, long stageMs, long loadMs) {
            this.store = store;
            this.record = record;
            this.stageMs = stageMs;
            this.loadMs = loadMs;
        }
    }

    final String id;
    private final Fleet fleet;
    private final String address;
    private final long born = System.currentTimeMillis();
    private final Set<String> staged = new TreeSet<>();
    private String lastModel;
    private long seenEpoch;
    private long sequence;
    private volatile boolean cut;
    private volatile long lastBeatMs;
    private volatile String workerState = "in_service";

    String group;
    long epoch;
    int rank;
    String state;
    String model;
    List<String> members = List.of();

    ModelWorker(String id, Fleet fleet) throws Exception {
        this.id = id;
        this.fleet = fleet;
        address = "127.0.0.1:" + Http.serve("127.0.0.1", (request, out, socket) -> {
            String expected = request.headers.get("Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                Http.respond(out, 421, Map.of("Instance-Id", id), new byte[0]);
                return true;
            }
            if (request.path().equals("/auburnhall/report")) {
                Http.respond(out, 200, Map.of("Content-Type", "application/json"), entry().getBytes());
                return true;
            }
            if (request.path().equals("/auburnhall/order")) {
                int status = order(Json.object(request.text()));
                Http.respond(out, status, Map.of("Content-Type", "application/json"), new byte[0]);
                return true;
            }
            Http.respond(out, 503, Map.of("Not-Executed", "1", "Response-Stamp", "s"), new byte[0]);
            return true;
        });
        fleet.workers.put(id, this);
        publish();
        Http.thread("beat", () -> {
            while (true) {
                Thread.sleep(20);
                long now = Store.now();
                if (!cut && now - lastBeatMs >= BEAT_MS) lastBeatMs = now;
                if (cut && lastBeatMs > 0 && now - lastBeatMs >= 3 * BEAT_MS) {
                    lastBeatMs = 0;
                    fleet.record.line("store: the entry of " + id + " has expired");
                    fleet.store.remove("servers/" + id);
                }
            }
        });
    }

    /** Waits until the worker has just sent a beat, then cuts it off from the store. */
    void cutFromStore() throws Exception {
        long before = lastBeatMs;
        while (lastBeatMs == before) Thread.sleep(2);
        cut = true;
        fleet.record.line("worker " + id + " is partitioned from the store");
    }

    void healStore() {
        cut = false;
        fleet.record.line("worker " + id + " reaches the store again");
        publish();
    }

    void drain() {
        workerState = "draining";
        fleet.record.line("worker " + id + " reports that it drains");
        publish();
    }

    private void publish() {
        if (cut) return;
        lastBeatMs = Store.now();
        fleet.store.put("servers/" + id, entry());
    }

    private synchronized String entry() {
        StringBuilder held = new StringBuilder();
        for (String name : staged) held.append(held.length() == 0 ? "" : ",").append(Json.quote(name));
        return "{\"service\":\"lm\",\"address\":\"" + address + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":18,"
            + "\"state\":\"" + workerState + "\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":["
            + (lastModel == null ? "" : "{\"name\":" + Json.quote(lastModel) + ",\"version\":1,\"adapters\":[]}")
            + "],\"sequence\":" + sequence + ",\"born\":" + born + ",\"domain\":\"d1\",\"staged\":[" + held + "],\"pace\":1.0"
            + (group == null ? "" : ",\"group\":{\"name\":" + Json.quote(group) + ",\"epoch\":" + epoch + ",\"rank\":" + rank
                + ",\"state\":\"" + state + "\"}") + "}";
    }

    private boolean isIn(Map<String, Object> order) {
        return group != null && group.equals(order.get("group")) && Long.valueOf(epoch).equals(order.get("epoch"));
    }

    @SuppressWarnings("unchecked")
    private int order(Map<String, Object> order) {
        String operation = (String) order.get("operation");
        String before = group + "@" + epoch + " " + state;
        int status;
        synchronized (fleet) {
            status = switch (operation) {
                case "join" -> join((String) order.get("group"), (Long) order.get("epoch"), (String) order.get("model"),
                    (List<String>) (Object) order.get("members"));
                case "open" -> open(order);
                case "leave" -> leave(order);
                case "stage" -> stage((String) order.get("model"));
                default -> 400;
            };
        }
        fleet.record.line("worker " + id + " (" + before + ") gets " + operation + " "
            + (order.get("group") == null ? order.get("model") : order.get("group") + "@" + order.get("epoch"))
            + (order.get("members") == null ? "" : " " + order.get("members")) + " -> " + status);
        if (status == 202) {
            sequence++;
            publish();
        }
        return status;
    }

    private int join(String name, long newEpoch, String newModel, List<String> list) {
        if (newEpoch < seenEpoch) return 412;
        if (name.equals(group) && newEpoch == epoch) return list.equals(members) ? 200 : 412;
        if (group != null) {
            ModelWorker head = fleet.workers.get(members.get(0));
            boolean sameGroup = head != null && group.equals(head.group) && epoch == head.epoch;
            if (sameGroup && (head.state.equals("open") || head.state.equals("closing"))) {
                String text = "worker " + id + " takes a join of " + name + "@" + newEpoch + " while " + head.id
                    + ", the head of its group " + group + "@" + epoch + ", is " + head.state;
                fleet.violations.add(text);
                fleet.record.line("TWO: " + text);
            }
        }
        seenEpoch = newEpoch;
        group = name;
        epoch = newEpoch;
        members = list;
        rank = list.indexOf(id);
        state = "joining";
        model = newModel;
        long ms = newModel.equals(lastModel) ? WARM_JOIN_MS : staged.contains(newModel) ? fleet.stageMs : fleet.loadMs;
        later(ms, () -> {
            if (!name.equals(group) || epoch != newEpoch || !state.equals("joining")) return;
            state = "in_service";
            lastModel = newModel;
            staged.add(newModel);
            publish();
        });
        return 202;
    }

    private int open(Map<String, Object> order) {
        if (!isIn(order) || rank != 0) return 409;
        if (state.equals("open")) return 200;
        if (!state.equals("in_service")) return 409;
        long opened = epoch;
        later(FORM_MS, () -> {
            if (group == null || epoch != opened || !state.equals("in_service")) return;
            state = "open";
            fleet.record.line("worker " + id + " is open as the head of " + group + "@" + epoch);
            publish();
        });
        return 202;
    }

    private int leave(Map<String, Object> order) {
        if (!isIn(order)) return 409;
        group = null;
        members = List.of();
        return 202;
    }

    private int stage(String name) {
        if (staged.contains(name)) return 200;
        later(fleet.loadMs, () -> {
            staged.add(name);
            publish();
        });
        return 202;
    }

    private void later(long ms, Http.Task task) {
        Http.thread("later", () -> {
            Thread.sleep(ms);
            synchronized (fleet) {
                task.run();
            }
        });
    }

}
