import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: items, ranges, watches, transactions and leases, as PROTOCOL.md describes them. */
final class Store {
    private static final long HISTORY_MS = 20_000;

    private record Item(String key, String value, long revision, long lease, boolean removed, long atMs) {
        String json() {
            return removed
                ? "{\"key\":" + Json.quote(key) + ",\"revision\":" + revision + ",\"tombstone\":true}"
                : "{\"key\":" + Json.quote(key) + ",\"value\":\"" + value + "\",\"revision\":" + revision
                    + ",\"created\":" + revision + ",\"lease\":" + lease + "}";
        }
    }

    private static final class Lease {
        long ttlMs;
        long endsAtMs;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Item> history = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long historyAfter = 100;
    private long nextLease = 7000;

    /** Called with the value of each write of a key that is not the operators' or the workers'. */
    interface Observer {
        void onWrite(String key, String value);
    }

    Observer observer = (key, value) -> {};

    /** The port at which the store listens. */
    final int port;

    Store(String host) throws Exception {
        port = Http.serve(host, this::handle);
        Http.thread("leases", () -> {
            while (true) {
                Thread.sleep(20);
                synchronized (this) {
                    long now = now();
                    for (long id : new ArrayList<>(leases.keySet())) if (leases.get(id).endsAtMs <= now) end(id);
                    while (!history.isEmpty() && history.peekFirst().atMs < now - HISTORY_MS) {
                        historyAfter = history.removeFirst().revision;
                    }
                }
            }
        });
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Writes a value as an operator or a worker does. */
    synchronized long put(String key, String value) {
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        return revision;
    }

    synchronized void remove(String key) {
        Item item = items.remove(key);
        if (item != null) add(new Item(key, "", ++revision, 0, true, now()));
    }

    /** The value at [key]; null if there is none. */
    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    private void write(String key, String value, long lease) {
        Item item = new Item(key, value, ++revision, lease, false, now());
        items.put(key, item);
        add(item);
        if (!key.startsWith("op/") && !key.startsWith("servers/")) observer.onWrite(key, get(key));
    }

    private void add(Item item) {
        history.addLast(item);
        notifyAll();
    }

    private void end(long lease) {
        leases.remove(lease);
        for (Item item : new ArrayList<>(items.values())) if (item.lease == lease) remove(item.key);
    }

    private boolean handle(Http.Message request, OutputStream out, java.net.Socket socket) throws Exception {
        String path = request.path().replace("/auburnhall/", "");
        int[] status = {200};
        String body = path.equals("kv-watch") ? watch(request, status) : call(path, request, status);
        Http.respond(out, status[0], Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private synchronized String watch(Http.Message request, int[] status) throws InterruptedException {
        String prefix = request.query("prefix") == null ? "" : request.query("prefix");
        long after = Long.parseLong(request.query("after_revision"));
        long until = now() + Long.parseLong(request.query("wait_ms"));
        while (true) {
            if (after < historyAfter) {
                status[0] = 410;
                return "{}";
            }
            StringBuilder events = new StringBuilder();
            for (Item item : history) {
                if (item.revision > after && item.key.startsWith(prefix)) {
                    events.append(events.length() == 0 ? "" : ",").append(item.json());
                }
            }
            long left = until - now();
            if (events.length() > 0 || left <= 0) return "{\"events\":[" + events + "],\"at\":" + revision + "}";
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String call(String path, Http.Message request, int[] status) {
        if (path.equals("kv-key")) {
            Item item = items.get(request.query("key"));
            status[0] = item == null ? 404 : 200;
            return item == null ? "{}" : item.json();
        }
        if (path.equals("kv-range")) {
            String prefix = request.query("prefix") == null ? "" : request.query("prefix");
            String after = request.query("after_revision") == null ? "" : request.query("after_revision");
            StringBuilder found = new StringBuilder();
            int count = 0;
            boolean more = false;
            for (Item item : items.tailMap(after, false).values()) {
                if (!item.key.startsWith(prefix)) continue;
                if (count == 500 || found.length() > 1_000_000) {
                    more = true;
                    break;
                }
                found.append(count++ == 0 ? "" : ",").append(item.json());
            }
            return "{\"items\":[" + found + "],\"has_more\":" + more + ",\"at\":" + revision + "}";
        }
        if (path.equals("kv-txn")) {
            Map<String, Object> body = Json.object(request.text());
            for (Object row : (List<Object>) body.get("precondition")) {
                Map<String, Object> condition = (Map<String, Object>) row;
                Item item = items.get((String) condition.get("key"));
                if ((item == null ? 0 : item.revision) != (Long) condition.get("revision")) {
                    status[0] = 412;
                    return "{\"items\":[]}";
                }
            }
            List<Object> puts = (List<Object>) body.get("puts");
            for (Object row : puts) {
                long lease = (Long) ((Map<String, Object>) row).getOrDefault("lease", 0L);
                if (lease != 0 && !leases.containsKey(lease)) {
                    status[0] = 404;
                    return "{}";
                }
            }
            for (Object row : puts) {
                Map<String, Object> put = (Map<String, Object>) row;
                write((String) put.get("key"), (String) put.get("value"), (Long) put.getOrDefault("lease", 0L));
            }
            for (Object key : (List<Object>) body.get("remove")) remove((String) key);
            return "{\"revision\":" + revision + "}";
        }
        if (path.equals("kv-lease")) {
            Lease lease = new Lease();
            lease.ttlMs = (Long) Json.object(request.text()).get("ttl_ms");
            lease.endsAtMs = now() + lease.ttlMs;
            leases.put(++nextLease, lease);
            return "{\"lease\":" + nextLease + ",\"ttl_ms\":" + lease.ttlMs + "}";
        }
        if (path.startsWith("kv-keep/")) {
            Lease lease = leases.get(Long.parseLong(path.substring(8)));
            status[0] = lease == null ? 404 : 200;
            if (lease == null) return "{}";
            lease.endsAtMs = now() + lease.ttlMs;
            return "{\"ttl_ms\":" + lease.ttlMs + "}";
        }
        if (path.startsWith("kv-lease-end/")) {
            end(Long.parseLong(path.substring(13)));
            return "{}";
        }
        status[0] = 404;
        return "{}";
    }
}
