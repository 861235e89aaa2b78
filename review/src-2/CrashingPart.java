import java.util.ArrayList;
import java.util.List;

/** Requests with a part that crashes workers take all heads away at once; sound requests must be served again. */
final class CrashingPart extends Case {
    private static final long CONTACT_MS = 3_000;
    private volatile long lastCrashMs = -1;
    private int crashes;
    private volatile boolean sending = true;

    public static void main(String[] args) throws Exception {
        Case.main(new CrashingPart(), args[0]);
    }

    @Override
    boolean play() throws Exception {
        startStore(configuration(7, List.of(streamRoute()), List.of(engineService(2))));
        site.onCrash = worker -> {
            synchronized (this) {
                crashes++;
                lastCrashMs = nowMs();
            }
            note("worker " + worker.id + " crashed");
        };
        for (int i = 0; i < 8; i++) workers.add(new Worker(site, ip(31 + i), "huvo11a", "akl-a", "d1"));
        startEntries(2, "akl-a");
        await("both processes are ready", 20_000, () -> entries.stream().allMatch(entry -> entry.readiness() == 200));
        await("three groups are open", 30_000, () -> openHeads() >= 3);
        Thread.sleep(2_500);
        note("traffic begins");
        List<Thread> clients = new ArrayList<>();
        for (Entry entry : entries) clients.add(spawn(() -> sound(entry)));
        Thread.sleep(10_000);
        long beforeMs = nowMs();
        if (TROUBLE) {
            note("requests with the part that crashes workers begin");
            site.crashingPart = "bad0bad0";
            for (Entry entry : entries) clients.add(spawn(() -> bad(entry)));
            Thread.sleep(3_000);
        }
        Thread.sleep(30_000);
        sending = false;
        for (Thread client : clients) client.join(8_000);
        return judge(beforeMs);
    }

    private void sound(Entry entry) {
        int number = entries.indexOf(entry) * 10_000;
        while (sending) {
            int next = ++number;
            spawn(() -> stream(entry, "sound", next, String.format("aa01:400,%08x:300", next)));
            pause(250);
        }
    }

    /** Two requests a second, no two alike. */
    private void bad(Entry entry) {
        int number = entries.indexOf(entry) * 10_000;
        while (sending) {
            int next = ++number;
            spawn(() -> stream(entry, "bad", next, String.format("aa01:400,bad0bad0:100,%08x:200", 0x1000000 + next)));
            pause(500);
        }
    }

    private boolean judge(long beforeMs) {
        note(crashes + " crashes, the last after " + lastCrashMs + " ms; open heads now: " + openHeads());
        long fromMs = TROUBLE ? lastCrashMs + 2 * CONTACT_MS : beforeMs;
        int[] before = new int[2];
        int[] after = new int[2];
        synchronized (results) {
            for (Client.Result result : results) {
                if (!result.kind.equals("sound")) continue;
                int[] counts = result.sentMs < beforeMs - 1_000 ? before : result.sentMs > fromMs ? after : null;
                if (counts == null) continue;
                counts[0]++;
                if (runs.containsKey(result.attempt)) counts[1]++;
            }
        }
        note("sound requests before: " + before[0] + ", begun at the first attempt " + before[1]);
        note("sound requests from 2 x contact_ms after the last crash: " + after[0] + ", begun " + after[1]);
        if (before[0] < 20 || after[0] < 20 || before[1] * 10 < before[0] * 9) {
            throw new AssertionError("too few requests to judge");
        }
        if (TROUBLE && crashes == 0) throw new AssertionError("no worker crashed");
        return (double) after[1] / after[0] >= 0.5 * before[1] / before[0];
    }
}
