import java.util.ArrayList;
import java.util.List;

/**
 * The order application turns some orders down once it has run them. A machine that has lost the workers passes its
 * orders on to others, and must not take such an answer for a promise that nothing has run.
 */
final class RunTwice extends Case {
    private static final long CUT_MS = 8_000;
    private volatile boolean sending = true;

    public static void main(String[] args) throws Exception {
        Case.main(new RunTwice(), args[0]);
    }

    @Override
    boolean play() throws Exception {
        startStore(configuration(7, List.of(orderRoute()), List.of(plainService())));
        // One in five orders.
        site.turnsDown = attempt -> Integer.parseInt(attempt.substring("order".length()), 16) % 5 == 0;
        List<Http.Server> paths = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Worker worker = new Worker(site, ip(31 + i), "wuno96b", "akl-a", null);
            workers.add(worker);
            paths.add(worker.path(ip(131 + i)));
        }
        Http.Server first = store.path(ip(2), Case::otherPath);
        String address = store.server.address();
        startEntries("akl-a", List.of(first.address(), address, address));
        await("three processes are ready", 20_000, () -> entries.stream().allMatch(entry -> entry.readiness() == 200));
        Thread.sleep(4_000);
        note("orders begin, at the first machine; one in five is turned down with 409 once it has run");
        Thread client = spawn(this::send);
        Thread.sleep(5_000);
        if (TROUBLE) {
            paths.forEach(Http.Server::crash);
            note("the first machine is partitioned from all workers");
        }
        Thread.sleep(CUT_MS);
        if (TROUBLE) {
            for (Http.Server path : paths) path.listen();
            note("it reaches them again");
        }
        Thread.sleep(3_000);
        sending = false;
        client.join();
        Thread.sleep(2_500);
        return judge();
    }

    private void send() {
        int number = 0;
        while (sending) {
            int next = ++number;
            spawn(() -> order(entries.get(0), "order", next));
            pause(100);
        }
    }

    private boolean judge() {
        int twice = 0;
        int refused = 0;
        List<Client.Result> sent;
        synchronized (results) {
            sent = new ArrayList<>(results);
        }
        for (Client.Result result : sent) {
            int times = runs.getOrDefault(result.attempt, List.of()).size();
            if (times > 1) twice++;
            if (times > 0 && List.of(408, 421, 429, 503).contains(result.status)) refused++;
        }
        note(sent.size() + " orders; run more than once: " + twice + "; run, and answered as not run: " + refused);
        if (sent.size() < 100) throw new AssertionError("too few orders to judge");
        return twice == 0 && refused == 0;
    }
}
