import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A route moves to another service. The machine that has served it by the new configuration then loses the workers, and
 * passes its requests on to a machine that cannot read the store, and so knows the old configuration only.
 */
final class StaleHelper extends Case {
    private static final long CONFIG_APPLY_MS = 2_000;
    private static final long REVERT_SLACK_MS = 250;
    private final Map<String, String> services = new ConcurrentHashMap<>();
    private volatile boolean sending = true;

    public static void main(String[] args) throws Exception {
        Case.main(new StaleHelper(), args[0]);
    }

    @Override
    boolean play() throws Exception {
        List<String> plain = List.of(plainService("wuno96b"), plainService("fuzo11c"));
        startStore(configuration(7, List.of(orderRoute("wuno96b")), plain));
        List<Http.Server> paths = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            for (String service : List.of("wuno96b", "fuzo11c")) {
                int last = (service.equals("wuno96b") ? 31 : 41) + i;
                Worker worker = new Worker(site, ip(last), service, "akl-a", null);
                workers.add(worker);
                paths.add(worker.path(ip(last + 100)));
            }
        }
        site.onRun = (attempt, worker) -> {
            runs.computeIfAbsent(attempt, key -> new ArrayList<>()).add(worker.id);
            services.put(attempt, worker.service);
        };
        // The first machine reaches the workers by addresses of its own, the second one the store.
        Http.Server first = store.path(ip(2), Case::otherPath);
        Http.Server second = store.path(ip(3), address -> address);
        startEntries("akl-a", List.of(first.address(), second.address()));
        await("both processes are ready", 20_000, () -> entries.stream().allMatch(entry -> entry.readiness() == 200));
        Thread.sleep(4_000);
        note("traffic begins, at the first machine");
        Thread client = spawn(this::send);
        Thread.sleep(4_000);
        if (TROUBLE) {
            second.crash();
            note("the second machine is partitioned from the store");
        }
        Thread.sleep(200);
        store.put("op/config", configuration(12, List.of(orderRoute("fuzo11c")), plain));
        long acknowledgedMs = nowMs();
        note("version 12 is acknowledged: the route goes to the service fuzo11c");
        Thread.sleep(CONFIG_APPLY_MS + 300);
        if (TROUBLE) {
            paths.forEach(Http.Server::crash);
            note("the first machine is partitioned from all workers, and stays in touch");
        }
        Thread.sleep(3_000);
        if (TROUBLE) {
            second.listen();
            note("the second machine reaches the store again");
        }
        Thread.sleep(3_000);
        if (TROUBLE) {
            for (Http.Server path : paths) path.listen();
            note("the first machine reaches the workers again");
        }
        Thread.sleep(2_000);
        sending = false;
        client.join();
        Thread.sleep(2_500);
        return judge(acknowledgedMs);
    }

    private void send() {
        int number = 0;
        while (sending) {
            int next = ++number;
            spawn(() -> order(entries.get(0), "order", next));
            pause(100);
        }
    }

    private boolean judge(long acknowledgedMs) {
        long effectMs = Long.MAX_VALUE;
        List<Client.Result> sent;
        synchronized (results) {
            sent = new ArrayList<>(results);
        }
        for (Client.Result result : sent) {
            if ("fuzo11c".equals(services.get(result.attempt))) effectMs = Math.min(effectMs, result.endedMs);
        }
        int late = 0;
        int regressed = 0;
        for (Client.Result result : sent) {
            if (!"wuno96b".equals(services.get(result.attempt))) continue;
            if (result.sentMs > acknowledgedMs + CONFIG_APPLY_MS) late++;
            if (result.sentMs > effectMs + REVERT_SLACK_MS) regressed++;
        }
        note("a worker of fuzo11c saw the effect of version 12 after " + effectMs + " ms");
        note("run by the old service wuno96b: " + regressed + " sent later than revert_slack_ms after that, " + late
            + " sent later than config_apply_ms after the acknowledgement");
        if (effectMs == Long.MAX_VALUE) throw new AssertionError("the new version had no effect");
        return regressed == 0 && late == 0;
    }
}
