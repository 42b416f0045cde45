import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A model engine: streams events, carries out orders, and crashes when it begins to answer on a part that crashes it. */
final class Engine {
    static final int SLOTS = 48;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long LOAD_MILLIS = 800;

    /** What an engine does, beside what all engines do. */
    interface Behaviour {
        boolean crashes(Harness.Message request);

        boolean isFramed();

        int events(Harness.Message request);

        long eventMillis();
    }

    private final Harness harness;
    private final Harness.Store store;
    private final Behaviour behaviour;
    private final String service;
    private final String name;
    private final int port;
    private final Set<String> onDisk = new TreeSet<>();
    private volatile Life life;
    private int lives;

    Engine(Harness harness, Harness.Store store, String service, String name, Set<String> models, Behaviour behaviour) throws IOException {
        this.harness = harness;
        this.store = store;
        this.service = service;
        this.name = name;
        this.behaviour = behaviour;
        onDisk.addAll(models);
        port = Harness.freePort("127.0.0.1");
        start(models);
    }

    private void start(Set<String> models) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        Life started = new Life("i-" + name + "-" + ++lives, listener, models);
        life = started;
        Harness.daemon(started::accept);
        Harness.daemon(started::beat);
    }

    /** One life of the engine, which ends with its crash. */
    private final class Life {
        final String id;
        final ServerSocket listener;
        final long bornEpochMillis = System.currentTimeMillis();
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        final Map<String, Set<String>> held = new TreeMap<>();
        final Map<String, Long> readyAtMillis = new TreeMap<>();
        private long busyUntilMillis;
        private long accepted;
        private int running;
        private int beats;
        private volatile boolean isOver;

        Life(String id, ServerSocket listener, Set<String> models) {
            this.id = id;
            this.listener = listener;
            models.forEach(model -> held.put(model, new TreeSet<>()));
        }

        void accept() throws IOException {
            while (!isOver) {
                Socket socket = listener.accept();
                sockets.add(socket);
                Harness.daemon(() -> {
                    try (Harness.Http http = new Harness.Http(socket)) {
                        serve(http);
                    } finally {
                        sockets.remove(socket);
                    }
                });
            }
        }

        void beat() {
            while (!isOver) {
                writeEntry();
                Harness.sleep(HEARTBEAT_MILLIS);
            }
        }

        private synchronized void writeEntry() {
            if (isOver) return;
            store.write("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"zone-a\",\"version\":1,\"slots\":" + SLOTS + ",\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":" + ++beats
                + ",\"born\":" + bornEpochMillis + ",\"stage\":\"prefill_decode\",\"models\":" + models() + ",\"at_hand\":{\"in_memory\":[],\"on_disk\":" + disk() + "}}");
        }

        private synchronized String models() {
            StringBuilder text = new StringBuilder("[");
            held.forEach((model, adapters) -> {
                if (readyAtMillis.getOrDefault(model, 0L) > Harness.nowMillis()) return;
                if (text.length() > 1) text.append(',');
                text.append("{\"name\":\"").append(model).append("\",\"version\":1,\"adapters\":[");
                text.append(adapters.isEmpty() ? "" : "\"" + String.join("\",\"", adapters) + "\"").append("]}");
            });
            return text.append("]").toString();
        }

        private String disk() {
            return "[\"" + String.join("\",\"", onDisk) + "\"]";
        }

        private void serve(Harness.Http http) throws IOException {
            for (Harness.Message request = http.readRequest(); request != null; request = http.readRequest()) {
                String path = request.startLine.split(" ")[1];
                if (path.equals("/api/report")) {
                    answer(http, request, 200, report());
                } else if (path.equals("/api/order")) {
                    answer(http, request, order(request, new String(request.body)), "");
                } else if (!serveRun(http, request)) {
                    return;
                }
            }
        }

        private void answer(Harness.Http http, Harness.Message request, int status, String body) throws IOException {
            String attempt = request.header("Attempt-Id");
            http.send("HTTP/1.1 " + status + " X\r\n" + (attempt.isEmpty() ? "" : "Attempt-Id: " + attempt + "\r\n")
                + (status == 503 ? "Not-Executed: 1\r\n" : "") + "Instance-Load: " + running + ",0," + SLOTS + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        private synchronized String report() {
            return "{\"stage\":\"prefill_decode\",\"models\":" + models() + ",\"busy\":" + (Harness.nowMillis() < busyUntilMillis)
                + ",\"sequence\":" + accepted + ",\"waiting\":0,\"running\":" + running + ",\"kv_used\":0,\"kv_total\":113902,\"handles\":0,\"born\":"
                + bornEpochMillis + ",\"at_hand\":{\"in_memory\":[],\"on_disk\":" + disk() + "}}";
        }

        private synchronized int order(Harness.Message request, String body) {
            if (!request.header("Target-Instance").equals(id)) return 421;
            String model = text(body, "model");
            boolean isLoad = text(body, "operation").equals("loading");
            Matcher expected = Pattern.compile("\"precondition\":(\\d+)").matcher(body);
            if (Harness.nowMillis() < busyUntilMillis || (expected.find() && Long.parseLong(expected.group(1)) != accepted)) return 409;
            if (held.containsKey(model) == isLoad) return 200;
            accepted++;
            harness.log("engine %s is ordered: %s %s by %s, fence %s", id, text(body, "operation"), model, text(body, "holder"), body.replaceAll(".*\"fence\":(\\d+).*", "$1"));
            if (isLoad) {
                held.put(model, new TreeSet<>());
                onDisk.add(model);
                busyUntilMillis = Harness.nowMillis() + LOAD_MILLIS;
                readyAtMillis.put(model, busyUntilMillis);
            } else {
                held.remove(model);
            }
            return 202;
        }

        private synchronized boolean lacks(Harness.Message request) {
            String model = request.header("Model");
            return !request.header("Target-Instance").equals(id) || !held.containsKey(model) || readyAtMillis.getOrDefault(model, 0L) > Harness.nowMillis();
        }

        /** Returns whether the channel goes on. */
        private boolean serveRun(Harness.Http http, Harness.Message request) throws IOException {
            if (lacks(request)) {
                answer(http, request, 421, "");
                return true;
            }
            String attempt = request.header("Attempt-Id");
            harness.log("engine %s begins %s on %s", id, attempt, request.header("Prompt-Prefix"));
            begun.put(attempt, Harness.nowMillis());
            synchronized (this) {
                running++;
            }
            try {
                Harness.sleep(40);
                if (behaviour.crashes(request)) {
                    crash(attempt);
                    return false;
                }
                return stream(http, request, attempt);
            } finally {
                synchronized (this) {
                    running--;
                }
            }
        }

        private boolean stream(Harness.Http http, Harness.Message request, String attempt) throws IOException {
            boolean isFramed = behaviour.isFramed();
            http.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: seal-" + id
                + "\r\nInstance-Load: " + running + ",0," + SLOTS + "\r\nWeight-Versions: 1\r\n" + (isFramed ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"));
            String last = request.header("Last-Event-Id");
            int events = behaviour.events(request);
            for (int number = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; number <= events; number++) {
                String event = "id: " + number + "\ndata: part " + number + " of " + events + "\n\n";
                http.send(isFramed ? Integer.toHexString(event.length()) + "\r\n" + event + "\r\n" : event);
                Harness.sleep(behaviour.eventMillis());
            }
            if (isFramed) http.send("0\r\n\r\n");
            return isFramed;
        }

        private synchronized void crash(String attempt) throws IOException {
            if (isOver) return;
            isOver = true;
            harness.log("engine %s crashes as it begins to answer %s", id, attempt);
            crashes.put(id, Harness.nowMillis());
            listener.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            Harness.daemon(() -> {
                Harness.sleep(3_000);
                start(Set.of());
                harness.log("engine %s is back as %s, empty", id, life.id);
                Harness.sleep(600);
                store.write("keyed.servers", id, null);
            });
        }
    }

    /** When each attempt began to run, by attempt. */
    final Map<String, Long> begun = new ConcurrentHashMap<>();

    /** When each life crashed. */
    final Map<String, Long> crashes = new ConcurrentHashMap<>();

    private static String text(String body, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }
}
