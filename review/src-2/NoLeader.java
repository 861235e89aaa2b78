import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** All machines of the zone lose the workers for some seconds; later the model workers are replaced, as planned. */
final class NoLeader extends Case {
    private static final long CUT_MS = Integer.getInteger("cutMs", 8_000);
    private static final int CUTS = Integer.getInteger("cuts", 4);
    private volatile boolean sending = true;

    public static void main(String[] args) throws Exception {
        Case.main(new NoLeader(), args[0]);
    }

    @Override
    boolean play() throws Exception {
        startStore(configuration(7, List.of(streamRoute(), orderRoute()), List.of(engineService(2), plainService())));
        site.events = Integer.getInteger("events", 16);
        site.eventMs = Integer.getInteger("eventMs", 250);
        for (int i = 0; i < 8; i++) workers.add(new Worker(site, ip(31 + i), "huvo11a", "akl-a", "d1"));
        for (int i = 0; i < 3; i++) workers.add(new Worker(site, ip(61 + i), "wuno96b", "akl-a", null));
        startEntries(Integer.getInteger("n", 2), "akl-a");
        await("both processes are ready", 20_000, () -> entries.stream().allMatch(entry -> entry.readiness() == 200));
        await("three groups are open", 30_000, () -> openHeads() >= 3);
        Thread.sleep(2_500);
        note("traffic begins");
        List<Thread> clients = new ArrayList<>();
        for (Entry entry : entries) clients.add(spawn(() -> send(entry)));
        for (Entry entry : entries) clients.add(spawn(() -> sendOrders(entry)));
        Thread.sleep(8_000);
        for (int cut = 0; cut < CUTS; cut++) {
            if (TROUBLE) {
                note("the machines are partitioned from all workers: new connections are refused, others live on");
                if (Boolean.getBoolean("crash")) workers.subList(8, 11).forEach(worker -> worker.crash(CUT_MS));
                else workers.forEach(worker -> worker.server.gate = (InetAddress from) -> false);
            }
            Thread.sleep(CUT_MS);
            workers.forEach(worker -> worker.server.gate = (InetAddress from) -> true);
            if (TROUBLE) note("the partition has ended");
            Thread.sleep(3_000);
            note("controller in the store: " + store.get("auburnhall/controller"));
        }
        note("the workers of the model service are replaced one after the other");
        List<Worker> old = new ArrayList<>(workers.subList(0, 8));
        for (int i = 0; i < old.size(); i++) {
            workers.add(new Worker(site, ip(41 + i), "huvo11a", "akl-a", "d1"));
            Thread.sleep(500);
            old.get(i).drain(4_000);
            Thread.sleep(500);
        }
        Thread.sleep(6_000);
        long fromMs = nowMs();
        note("all are replaced; open heads: " + openHeads() + ", controller: " + store.get("auburnhall/controller"));
        Thread.sleep(10_000);
        sending = false;
        for (Thread client : clients) client.join(8_000);
        Thread.sleep(4_500);
        note("open heads at the end: " + openHeads() + ", controller: " + store.get("auburnhall/controller"));
        return judge(fromMs);
    }

    private void send(Entry entry) {
        Random random = new Random(entries.indexOf(entry));
        int number = entries.indexOf(entry) * 10_000;
        while (sending) {
            int next = ++number;
            spawn(() -> stream(entry, "stream", next, String.format("aa01:400,%08x:300", next)));
            try {
                Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * Integer.getInteger("gap", 300)));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void sendOrders(Entry entry) {
        int number = entries.indexOf(entry) * 10_000;
        while (sending) {
            int next = ++number;
            spawn(() -> order(entry, "order", next));
            try {
                Thread.sleep(Integer.getInteger("orderGap", 150));
            } catch (InterruptedException e) {
                return;
            }
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
        if (all[0] < 50) throw new AssertionError("too few requests to judge");
        return (double) streams[1] / streams[0] >= 0.25 * all[1] / all[0];
    }
}
