import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The workers of the plain service crash and are back some seconds later, while the model workers stay up. Later the
 * model workers are replaced one after the other, as planned: somebody has to form groups of the new ones.
 */
final class NoController extends Case {
    private static final int CRASHES = 2;
    private static final long DOWN_MS = 8_000;
    private volatile boolean sending = true;

    public static void main(String[] args) throws Exception {
        Case.main(new NoController(), args[0]);
    }

    @Override
    boolean play() throws Exception {
        startStore(configuration(7, List.of(streamRoute(), orderRoute()), List.of(engineService(2), plainService())));
        site.events = 16;
        site.eventMs = 250;
        List<Worker> models = new ArrayList<>();
        List<Worker> plain = new ArrayList<>();
        for (int i = 0; i < 8; i++) models.add(new Worker(site, ip(31 + i), "huvo11a", "akl-a", "d1"));
        for (int i = 0; i < 3; i++) plain.add(new Worker(site, ip(61 + i), "wuno96b", "akl-a", null));
        workers.addAll(models);
        workers.addAll(plain);
        startEntries(2, "akl-a");
        await("both processes are ready", 20_000, () -> entries.stream().allMatch(entry -> entry.readiness() == 200));
        await("three groups are open", 30_000, () -> openHeads() >= 3);
        Thread.sleep(2_500);
        note("traffic begins");
        List<Thread> clients = new ArrayList<>();
        for (Entry entry : entries) {
            clients.add(spawn(() -> sendStreams(entry)));
            clients.add(spawn(() -> sendOrders(entry)));
        }
        Thread.sleep(6_000);
        for (int crash = 0; crash < CRASHES; crash++) {
            if (TROUBLE) {
                plain.forEach(worker -> worker.crash(DOWN_MS));
                note("the workers of the plain service crash");
            }
            Thread.sleep(DOWN_MS + 100);
            if (TROUBLE) note("they are up again");
            Thread.sleep(6_000);
            note("open heads: " + openHeads() + ", controller in the store: " + controller());
        }
        Thread.sleep(3_000);
        note("the workers of the model service are replaced one after the other");
        for (int i = 0; i < models.size(); i++) {
            workers.add(new Worker(site, ip(41 + i), "huvo11a", "akl-a", "d1"));
            Thread.sleep(500);
            models.get(i).drain(4_000);
            Thread.sleep(500);
        }
        Thread.sleep(6_000);
        long fromMs = nowMs();
        note("all are replaced; open heads: " + openHeads() + ", controller: " + controller());
        Thread.sleep(14_000);
        sending = false;
        for (Thread client : clients) client.join(8_000);
        Thread.sleep(5_000);
        note("open heads at the end: " + openHeads() + ", controller: " + controller());
        return judge(fromMs);
    }

    private String controller() {
        return String.valueOf(store.get("auburnhall/controller"));
    }

    private void sendStreams(Entry entry) {
        Random random = new Random(entries.indexOf(entry));
        int number = entries.indexOf(entry) * 10_000;
        while (sending) {
            int next = ++number;
            spawn(() -> stream(entry, "stream", next, String.format("aa01:400,%08x:300", next)));
            pause((long) (-Math.log(1 - random.nextDouble()) * 500));
        }
    }

    private void sendOrders(Entry entry) {
        int number = entries.indexOf(entry) * 10_000;
        while (sending) {
            int next = ++number;
            spawn(() -> order(entry, "order", next));
            pause(100);
        }
    }

    private boolean judge(long fromMs) {
        int[] streams = new int[2];
        int[] all = new int[2];
        synchronized (results) {
            for (Client.Result result : results) {
                if (result.sentMs < fromMs) continue;
                boolean served = result.status == 200 && result.complete;
                all[0]++;
                if (served) all[1]++;
                if (!result.kind.equals("stream")) continue;
                streams[0]++;
                if (served) streams[1]++;
            }
        }
        note("from then on: " + all[0] + " requests, " + all[1] + " served; streams: " + streams[0] + ", " + streams[1]
            + " served");
        if (all[0] < 50 || streams[0] < 20) throw new AssertionError("too few requests to judge");
        return (double) streams[1] / streams[0] >= 0.25 * all[1] / all[0];
    }
}
