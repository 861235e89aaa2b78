import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store as PROTOCOL.md describes it: items, watches, conditions and leases. */
final class Store implements Http.Handler {
    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> json() {
            return Json.map("key", key, "value", value, "revision", revision, "created", created, "lease", lease);
        }
    }

    private record Change(String key, long revision, Item item) {
        Map<String, Object> json() {
            return item != null ? item.json() : Json.map("key", key, "revision", revision, "tombstone", true);
        }
    }

    private static final class Lease {
        long ttlMs;
        long endsAtNs;
    }

    private static final int PAGE = 500;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long nextLease = 7000;
    private int era = 1;
    final Http.Server server;

    /**
     * A second address of the store, by which a process sees the workers at addresses of its own. So that what it has
     * to the workers, and to the store, can be cut without the others.
     */
    Http.Server path(String host, java.util.function.UnaryOperator<String> addresses) throws IOException {
        return new Http.Server(host, (request, exchange) -> onRequest(request, new Http.Exchange(exchange.socket) {
            @Override
            void send(int status, Map<String, String> headers, String body) throws IOException {
                super.send(status, headers, rewritten(body, addresses));
            }
        }));
    }

    private static String rewritten(String body, java.util.function.UnaryOperator<String> addresses) {
        Map<String, Object> parsed = Json.object(body);
        rewrite(parsed, addresses);
        return Json.write(parsed);
    }

    @SuppressWarnings("unchecked")
    private static void rewrite(Map<String, Object> item, java.util.function.UnaryOperator<String> addresses) {
        for (String list : List.of("items", "events")) {
            if (item.get(list) != null) ((List<Map<String, Object>>) item.get(list)).forEach(x -> rewrite(x, addresses));
        }
        if (!(item.get("key") instanceof String key) || !key.startsWith("servers/") || item.get("value") == null) return;
        String text = new String(Base64.getDecoder().decode((String) item.get("value")), StandardCharsets.UTF_8);
        Map<String, Object> entry = Json.object(text);
        entry.put("address", addresses.apply((String) entry.get("address")));
        byte[] bytes = Json.write(entry).getBytes(StandardCharsets.UTF_8);
        item.put("value", Base64.getEncoder().encodeToString(bytes));
    }

    Store(String host) throws IOException {
        server = new Http.Server(host, this);
        Thread expiry = new Thread(this::expire, "expiry");
        expiry.setDaemon(true);
        expiry.start();
    }

    /** Writes an item as the operator or a worker does. */
    synchronized void put(String key, String value) {
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        history.add(new Change(key, ++revision, null));
        notifyAll();
    }

    /** The value at the key; null if there is none. */
    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    private void put(String key, String value, long lease) {
        Item before = items.get(key);
        revision++;
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        history.add(new Change(key, revision, item));
        notifyAll();
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (lease.endsAtNs - System.nanoTime() <= 0) ended.add(id);
                });
                ended.forEach(this::end);
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void end(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.values().forEach(item -> {
            if (item.lease == id) keys.add(item.key);
        });
        keys.forEach(this::remove);
    }

    @Override
    public boolean onRequest(Http.Message request, Http.Exchange exchange) throws IOException, InterruptedException {
        String path = request.path().replace("/auburnhall/", "");
        Map<String, String> query = query(request.uri());
        if (path.equals("kv-range")) return send(exchange, 200, range(query));
        if (path.equals("kv-key")) {
            synchronized (this) {
                Item item = items.get(query.get("key"));
                return send(exchange, item == null ? 404 : 200, item == null ? Json.map() : item.json());
            }
        }
        if (path.equals("kv-watch")) {
            Map<String, Object> found = watch(query);
            return send(exchange, found == null ? 410 : 200, found == null ? Json.map() : found);
        }
        if (path.equals("kv-txn")) return commit(Json.object(request.text()), exchange);
        if (path.equals("kv-lease")) {
            long ttlMs = ((Number) Json.object(request.text()).get("ttl_ms")).longValue();
            return send(exchange, 200, grant(ttlMs));
        }
        if (path.startsWith("kv-keep/")) {
            synchronized (this) {
                Lease lease = leases.get(Long.parseLong(path.substring("kv-keep/".length())));
                if (lease == null) return send(exchange, 404, Json.map());
                lease.endsAtNs = System.nanoTime() + lease.ttlMs * 1_000_000;
                return send(exchange, 200, Json.map("ttl_ms", lease.ttlMs));
            }
        }
        if (path.startsWith("kv-lease-end/")) {
            synchronized (this) {
                long id = Long.parseLong(path.substring("kv-lease-end/".length()));
                boolean known = leases.containsKey(id);
                if (known) end(id);
                return send(exchange, known ? 200 : 404, Json.map());
            }
        }
        return send(exchange, 404, Json.map());
    }

    private boolean send(Http.Exchange exchange, int status, Map<String, Object> body) throws IOException {
        exchange.send(status, Map.of("Content-Type", "application/json", "Store-Era", "" + era), Json.write(body));
        return true;
    }

    private synchronized Map<String, Object> range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after_revision", "");
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(after, false).values()) {
            if (!item.key.startsWith(prefix)) continue;
            if (found.size() == PAGE) {
                more = true;
                break;
            }
            found.add(item.json());
        }
        return Json.map("items", found, "has_more", more, "at", revision);
    }

    /** A copy of what the store holds now. */
    synchronized Copy copy() {
        Map<Long, Lease> held = new HashMap<>();
        leases.forEach((id, lease) -> {
            Lease same = new Lease();
            same.ttlMs = lease.ttlMs;
            held.put(id, same);
        });
        return new Copy(new TreeMap<>(items), held, revision, nextLease);
    }

    /** The store comes back from the copy: revisions go back, and what was written since is gone. */
    synchronized void restore(Copy copy) {
        items.clear();
        items.putAll(copy.items);
        leases.clear();
        copy.leases.forEach((id, lease) -> {
            lease.endsAtNs = System.nanoTime() + lease.ttlMs * 1_000_000;
            leases.put(id, lease);
        });
        history.clear();
        revision = copy.revision;
        nextLease = copy.nextLease;
        era++;
        notifyAll();
    }

    record Copy(TreeMap<String, Item> items, Map<Long, Lease> leases, long revision, long nextLease) {}

    private synchronized Map<String, Object> watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after_revision"));
        long endNs = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        int begunIn = era;
        while (true) {
            boolean known = after >= revision || (!history.isEmpty() && history.get(0).revision <= after + 1);
            if (after > revision || !known || era != begunIn) return null;
            List<Object> events = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).revision > after; i--) {
                if (history.get(i).key.startsWith(prefix)) events.add(0, history.get(i).json());
            }
            long leftMs = (endNs - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) return Json.map("events", events, "at", Math.max(after, revision));
            wait(leftMs);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized boolean commit(Map<String, Object> body, Http.Exchange exchange) throws IOException {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : (List<Object>) body.getOrDefault("precondition", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) row;
            Item item = items.get((String) expected.get("key"));
            if (item != null) current.add(item.json());
            holds &= (item == null ? 0 : item.revision) == ((Number) expected.get("revision")).longValue();
        }
        if (!holds) return send(exchange, 412, Json.map("items", current));
        List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
        for (Object row : puts) {
            long lease = leaseOf((Map<String, Object>) row);
            if (lease != 0 && !leases.containsKey(lease)) return send(exchange, 404, Json.map());
        }
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            put((String) put.get("key"), (String) put.get("value"), leaseOf(put));
        }
        for (Object key : (List<Object>) body.getOrDefault("remove", List.of())) remove((String) key);
        return send(exchange, 200, Json.map("revision", revision));
    }

    private static long leaseOf(Map<String, Object> put) {
        Object lease = put.get("lease");
        return lease == null ? 0 : ((Number) lease).longValue();
    }

    private synchronized Map<String, Object> grant(long ttlMs) {
        Lease lease = new Lease();
        lease.ttlMs = ttlMs;
        lease.endsAtNs = System.nanoTime() + ttlMs * 1_000_000;
        leases.put(++nextLease, lease);
        return Json.map("lease", nextLease, "ttl_ms", ttlMs);
    }

    private static Map<String, String> query(String uri) {
        Map<String, String> query = new HashMap<>();
        int mark = uri.indexOf('?');
        if (mark < 0) return query;
        for (String pair : uri.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
