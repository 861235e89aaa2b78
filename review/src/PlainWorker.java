import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A sound worker of a plain service: reads each request whole, works on it, and answers with a signed body. */
final class PlainWorker {
    final String id;
    final Set<String> begun = ConcurrentHashMap.newKeySet();
    final Map<String, Integer> runs = new ConcurrentHashMap<>();

    PlainWorker(String id, String service, Store store, Record record, long workMs, int answerBytes) throws Exception {
        this.id = id;
        byte[] answer = new byte[answerBytes];
        for (int i = 0; i < answerBytes; i++) answer[i] = (byte) ('a' + i % 26);
        int port = Http.serve("127.0.0.1", (request, out, socket) -> {
            String expected = request.headers.get("Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                Http.respond(out, 421, Map.of("Instance-Id", id), new byte[0]);
                return true;
            }
            if (request.path().equals("/health")) {
                Http.respond(out, 200, Map.of("Instance-Id", id), new byte[0]);
                return true;
            }
            String attempt = request.headers.get("Attempt-Id");
            begun.add(attempt);
            int run = runs.merge(attempt, 1, Integer::sum);
            record.line("worker " + id + " runs " + attempt + " (run " + run + ", body of " + request.body.length + " bytes)");
            Thread.sleep(workMs);
            Http.respond(out, 200, Map.of("Attempt-Id", attempt, "Response-Stamp", "stamp." + id), answer);
            return true;
        });
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
            + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"in_service\",\"cold_remaining_ms\":0,"
            + "\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}");
    }
}
