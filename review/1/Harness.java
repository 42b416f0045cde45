import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the record, the entry processes, the platform's store and small HTTP over sockets. */
final class Harness implements Closeable {
    private static final long START_NANOS = System.nanoTime();
    final Path temporary;
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

    Harness(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        temporary = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static long nowMillis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void log(String format, Object... arguments) {
        record.printf(Locale.ROOT, "%8d ms  %s%n", nowMillis(), String.format(Locale.ROOT, format, arguments));
        record.flush();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception ended) {
                // The peer has closed its channel.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the first of sixteen ports that are free on the addresses of both entry processes. */
    static int freeInternalPort() throws IOException {
        for (int base = 21_000 + (int) (ProcessHandle.current().pid() % 500) * 16; base < 31_000; base += 16) {
            if (areFree("127.0.0.1", base) && areFree("127.0.0.2", base)) return base;
        }
        throw new CantRun("no internal ports are free");
    }

    private static boolean areFree(String host, int base) {
        for (int port = base; port < base + 3; port++) {
            try (ServerSocket stream = new ServerSocket(port, 1, InetAddress.getByName(host));
                java.net.DatagramSocket datagrams = new java.net.DatagramSocket(port, InetAddress.getByName(host))) {
                continue;
            } catch (IOException taken) {
                return false;
            }
        }
        return true;
    }

    /** Starts a process of a stand-in, which ends with the case. */
    Process startProcess(String... command) throws IOException {
        Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        synchronized (processes) {
            processes.add(process);
        }
        return process;
    }

    // ---- entry processes ----

    /** One entry process, started with the command of the deploy file. */
    final class Entry {
        final String host;
        final int callerPort;
        final int readyPort;
        Process process;
        private final ProcessBuilder builder;

        Entry(int number, String zone, int storePort, int internalPort) throws IOException {
            host = "127.0.0." + number;
            callerPort = freePort(host);
            readyPort = freePort(host);
            String boot = settings(number, zone, storePort, internalPort);
            Path file = temporary.resolve("settings-" + number + ".json");
            Files.writeString(file, boot);
            builder = new ProcessBuilder(command());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("BANYANTURN_BOOT", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve("entry-" + number + ".log").toFile()));
        }

        void start() throws IOException {
            process = builder.start();
            synchronized (processes) {
                processes.add(process);
            }
            log("entry process %s started, caller port %d", host, callerPort);
        }

        void signal(String name) throws IOException, InterruptedException {
            log("signal %s to entry process %s", name, host);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try (Http http = new Http(host, readyPort)) {
                http.socket.setSoTimeout(1_000);
                http.send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
                return http.readAnswer().status == 200;
            } catch (IOException notYet) {
                return false;
            }
        }

        void awaitReady() throws IOException {
            long limitMillis = nowMillis() + 20_000;
            while (!isReady()) {
                if (nowMillis() > limitMillis || !process.isAlive()) throw new CantRun("entry " + host + " isn't ready");
                sleep(100);
            }
            log("entry process %s is ready", host);
        }

        String output() throws IOException {
            return Files.readString(temporary.resolve("entry-" + host.substring(host.lastIndexOf('.') + 1) + ".log"));
        }

        private List<String> command() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) throw new CantRun("deploy/system.toml has no command");
            return List.of(run.group(1).split(" "));
        }

        private String settings(int number, String zone, int storePort, int internalPort) {
            return """
                {"node": "front-%s-%d", "role": "entry", "machine_class": "front", "serves": ["front"],
                 "ip": "%s", "zone": "%s", "region": "region-a", "zones": {"zone-a": "region-a", "zone-b": "region-a"},
                 "listen": {"front": "%s:%d", "ready": "%s:%d"}, "internal_ports": [%d, %d], "seeds": [],
                 "bootstrap": true, "loss_counts": false,
                 "limits": {"cpu_share": 0.75, "cores": 1, "memory_mb": 430, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
                 "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
                 "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"],
                 "tolerate": {"machines": 1, "zones": 1, "regions": 0},
                 "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                  "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
                  "max_stretch_ms": 5000, "revoke_closed": false, "revoke_ms": 5000, "budget_ratio": 0.2, "budget_window_s": 10,
                  "budget_slack": 56, "quota_window_s": 8, "quota_tolerance": 0.1, "quota_slack": 7500, "recover_s": 12,
                  "pass_ms": 120, "again_s": 0, "fencing_required": false, "lease_ms": 3000, "thaw_ms": 300,
                  "ceiling_window_s": 5, "ceiling_factor": 1.1},
                 "platform": {"address": "127.0.0.1:%d", "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12,
                  "append_ms": 2.0, "part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
                  "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000}}
                """.formatted(zone, number, host, zone, host, callerPort, host, readyPort, internalPort, internalPort + 15, storePort);
        }
    }

    /** The case can't run here, which says nothing about the rule. */
    static final class CantRun extends IOException {
        CantRun(String reason) {
            super(reason);
        }
    }

    @Override
    public void close() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            processes.forEach(process -> {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            });
            processes.clear();
        }
        try (var files = Files.walk(temporary)) {
            if (System.getenv("KEEP") == null) files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException gone) {
            // Already deleted.
        }
    }

    // ---- HTTP over sockets ----

    /** The head of a message and its body, if a length or chunks frame it. */
    static final class Message {
        String startLine = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        int status;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** One channel that carries HTTP/1.1. */
    static final class Http implements Closeable {
        final Socket socket;
        private final InputStream in;
        private final OutputStream out;

        Http(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream(), 16_384);
            out = socket.getOutputStream();
        }

        Http(String host, int port) throws IOException {
            this(connect(host, port));
        }

        private static Socket connect(String host, int port) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(host, port), 1_000);
            return socket;
        }

        void send(String text) throws IOException {
            send(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void send(byte[] bytes) throws IOException {
            synchronized (out) {
                out.write(bytes);
                out.flush();
            }
        }

        /** Returns the next line without its end, or null at the end of the channel. */
        String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int next = in.read();
            if (next < 0) return null;
            while (next >= 0 && next != '\n') {
                if (next != '\r') line.write(next);
                next = in.read();
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        /** Returns the next head, or null at the end of the channel. */
        Message readHead() throws IOException {
            Message message = new Message();
            message.startLine = readLine();
            if (message.startLine == null) return null;
            for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                if (colon > 0) message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            }
            return message;
        }

        Message readRequest() throws IOException {
            Message message = readHead();
            if (message != null) readBody(message);
            return message;
        }

        /** Returns the next whole answer; an answer that ends early is an error. */
        Message readAnswer() throws IOException {
            Message message = readHead();
            if (message == null) throw new IOException("the channel was closed without an answer");
            message.status = Integer.parseInt(message.startLine.split(" ")[1]);
            readBody(message);
            return message;
        }

        private void readBody(Message message) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if (message.header("Transfer-Encoding").contains("chunked")) {
                for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
                    body.write(readFully(size));
                    readLine();
                }
                readLine();
            } else if (!message.header("Content-Length").isEmpty()) {
                body.write(readFully(Integer.parseInt(message.header("Content-Length"))));
            }
            message.body = body.toByteArray();
        }

        private int readChunkSize() throws IOException {
            String line = readLine();
            if (line == null) throw new IOException("the answer ended early");
            return Integer.parseInt(line.trim(), 16);
        }

        byte[] readFully(int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) throw new IOException("the message ended early, after " + bytes.length + " of " + count + " bytes");
            return bytes;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    interface Handler {
        void handle(Http http) throws IOException;
    }

    /** Listens at a loopback address and handles each channel on a thread of its own; returns the port. */
    static int serve(String host, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(host, 0), 512);
        daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> {
                    try (Http http = new Http(socket)) {
                        handler.handle(http);
                    }
                });
            }
        });
        return listener.getLocalPort();
    }

    // ---- the platform's store ----

    /** The platform's store: the keyed topics of the operator and the targets, and one group. */
    static final class Store {
        private record Entry(String key, byte[] value) { }

        private final Map<String, List<Entry>> topics = new HashMap<>();
        private final Map<String, long[]> members = new LinkedHashMap<>();
        private final Map<String, String> wanted = new LinkedHashMap<>();
        private final Map<String, String> owned = new HashMap<>();
        private List<String> topicNames = List.of();
        private long generation;
        private int turn;
        private final int parts = 12;
        final int port;

        Store() throws IOException {
            port = serve("127.0.0.1", this::handle);
            daemon(() -> {
                while (true) {
                    dropSilent();
                    sleep(50);
                }
            });
        }

        synchronized void write(String topic, String key, String value) {
            topics.computeIfAbsent(topic, name -> new ArrayList<>())
                .add(new Entry(key, value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8)));
            notifyAll();
        }

        private void handle(Http http) throws IOException {
            for (Message request = http.readRequest(); request != null; request = http.readRequest()) {
                String target = request.startLine.split(" ")[1];
                Map<String, String> query = new HashMap<>();
                int mark = target.indexOf('?');
                if (mark >= 0) {
                    for (String pair : target.substring(mark + 1).split("&")) {
                        query.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
                    }
                }
                byte[] answer = answer(mark < 0 ? target : target.substring(0, mark), query, new String(request.body, StandardCharsets.UTF_8));
                sleep(4);
                http.send("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length + "\r\n\r\n");
                http.send(answer);
            }
        }

        private byte[] answer(String path, Map<String, String> query, String body) throws IOException {
            switch (path) {
                case "/api/log-newest": return newest(query.get("topic")).getBytes(StandardCharsets.UTF_8);
                case "/api/log-read": return read(query);
                case "/api/log-join": return join(body).getBytes(StandardCharsets.UTF_8);
                case "/api/log-leave": return leave(body).getBytes(StandardCharsets.UTF_8);
                case "/api/log-owners": return owners().getBytes(StandardCharsets.UTF_8);
                default: throw new IOException("no such call: " + path);
            }
        }

        private synchronized String newest(String topic) {
            List<Entry> entries = topics.getOrDefault(topic, List.of());
            Map<String, Integer> latest = new TreeMap<>();
            for (int offset = 0; offset < entries.size(); offset++) latest.put(entries.get(offset).key, offset);
            List<String> items = new ArrayList<>();
            latest.forEach((key, offset) -> {
                byte[] value = entries.get(offset).value;
                if (value.length > 0) {
                    items.add("{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + offset + "}");
                }
            });
            return "{\"items\":[" + String.join(",", items) + "],\"more\":false,\"end\":" + entries.size() + "}";
        }

        private synchronized byte[] read(Map<String, String> query) throws IOException {
            int from = Integer.parseInt(query.get("from"));
            long limitMillis = nowMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
            String topic = query.get("topic");
            while (topics.getOrDefault(topic, List.of()).size() <= from && nowMillis() < limitMillis) {
                try {
                    wait(Math.max(1, limitMillis - nowMillis()));
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
            List<Entry> entries = topics.getOrDefault(topic, List.of());
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(entries.size());
            out.writeLong(0);
            for (int offset = from; offset < entries.size(); offset++) {
                byte[] key = entries.get(offset).key.getBytes(StandardCharsets.UTF_8);
                byte[] value = entries.get(offset).value;
                out.writeInt(1 + key.length + value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(value);
            }
            return bytes.toByteArray();
        }

        private synchronized String join(String body) {
            String member = text(body, "member");
            if (topicNames.isEmpty()) {
                Matcher list = Pattern.compile("\"topics\":\\[([^\\]]*)\\]").matcher(body);
                topicNames = list.find() ? List.of(list.group(1).replace("\"", "").split(",")) : List.of();
            }
            long ttlMillis = number(body, "ttl_ms");
            boolean isNew = !members.containsKey(member);
            members.put(member, new long[] {nowMillis(), ttlMillis});
            if (isNew) deal(false);
            if (number(body, "generation") >= generation) {
                owned.entrySet().removeIf(entry -> entry.getValue().equals(member) && !member.equals(wanted.get(entry.getKey())));
            }
            List<String> rows = new ArrayList<>();
            wanted.forEach((part, holder) -> {
                if (holder.equals(member) && owned.getOrDefault(part, member).equals(member)) {
                    owned.put(part, member);
                    rows.add("[" + part + ",0]");
                }
            });
            return "{\"generation\":" + generation + ",\"parts\":[" + String.join(",", rows) + "]}";
        }

        private synchronized String leave(String body) {
            remove(text(body, "member"));
            return "{\"generation\":" + generation + "}";
        }

        private synchronized String owners() {
            List<String> rows = new ArrayList<>();
            owned.forEach((part, member) -> rows.add("[" + part + ",\"" + member + "\",0]"));
            return "{\"generation\":" + generation + ",\"parts\":[" + String.join(",", rows) + "]}";
        }

        private synchronized void dropSilent() {
            long now = nowMillis();
            List.copyOf(members.keySet()).stream().filter(name -> now - members.get(name)[0] > members.get(name)[1]).forEach(this::remove);
        }

        private void remove(String member) {
            if (members.remove(member) == null) return;
            owned.values().removeIf(member::equals);
            deal(false);
        }

        /** Deals all partitions anew and at once, as the store does at times without any request. */
        synchronized void dealAnew() {
            turn++;
            deal(true);
        }

        private void deal(boolean isAtOnce) {
            generation++;
            wanted.clear();
            if (isAtOnce) owned.clear();
            List<String> names = List.copyOf(members.keySet());
            if (names.isEmpty()) return;
            int index = turn;
            for (String topic : topicNames) {
                for (int part = 0; part < parts; part++) wanted.put("\"" + topic + "\"," + part, names.get(index++ % names.size()));
            }
        }

        private static String text(String body, String name) {
            Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
            return matcher.find() ? matcher.group(1) : "";
        }

        private static long number(String body, String name) {
            Matcher matcher = Pattern.compile("\"" + name + "\":(-?\\d+)").matcher(body);
            return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
        }
    }
}
