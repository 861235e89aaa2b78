import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that each keep one connection and send small orders on it, one after the other. */
final class Load {
    final AtomicInteger answered = new AtomicInteger();

    /** Requests on a kept connection that ended without a complete answer, by id. */
    final List<String> unanswered = java.util.Collections.synchronizedList(new ArrayList<>());
    final ConcurrentHashMap<Integer, Integer> statuses = new ConcurrentHashMap<>();
    volatile boolean stopped = false;

    Load(Entry entry, Record record, int clients) {
        for (int number = 0; number < clients; number++) {
            int client = number;
            Http.thread("client", () -> run(entry, record, client));
        }
    }

    private void run(Entry entry, Record record, int client) throws Exception {
        int count = 0;
        int onConnection = 0;
        Client connection = null;
        while (!stopped) {
            String id = "small-" + client + "-" + count++;
            try {
                if (connection == null) {
                    connection = new Client(entry.host, entry.front, 0);
                    onConnection = 0;
                }
                connection.send(Client.request("POST", "/orders/new", id, Config.KEY, 5_000, 100, ""), new byte[100]);
                Http.Message answer = connection.read();
                onConnection++;
                answered.incrementAndGet();
                statuses.merge(answer.status(), 1, Integer::sum);
                if (answer.status() != 200) record.line("client answer " + answer.status() + " to " + id);
                if ("close".equalsIgnoreCase(answer.headers.get("Connection"))) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                if (stopped) return;
                if (connection != null) {
                    record.line("client no answer to " + id + " on a connection with " + onConnection + " answers: " + e);
                    if (onConnection > 0) unanswered.add(id);
                    connection.close();
                }
                connection = null;
                Thread.sleep(200);
            }
        }
    }
}
