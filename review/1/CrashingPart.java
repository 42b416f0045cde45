import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A part of a prompt crashes the engines that begin to answer on it; the sound requests of the same caller, which share
 * its other parts, must go on being served.
 */
final class CrashingPart {
    private static final long STABLE_WINDOW_MILLIS = 3_000;
    private static final int ENGINES = 8;

    /** A sound request, or one with the part that crashes engines. */
    private static final class Sent {
        final String id;
        final boolean isSound;
        final long atMillis = Harness.nowMillis();
        volatile String answer = "none";

        Sent(String id, boolean isSound) {
            this.id = id;
            this.isSound = isSound;
        }
    }

    public static void main(String[] arguments) {
        int code = 2;
        try (Harness harness = new Harness(Path.of(arguments[0]))) {
            code = new CrashingPart(harness, arguments[1].equals("unframed")).run();
        } catch (Exception cantRun) {
            cantRun.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    private final Harness harness;
    private final boolean isUnframed;
    private final List<Sent> sent = new CopyOnWriteArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Random random = new Random(38);

    private CrashingPart(Harness harness, boolean isUnframed) {
        this.harness = harness;
        this.isUnframed = isUnframed;
    }

    private int run() throws Exception {
        Harness.Store store = new Harness.Store();
        store.write("keyed.op", "config", """
            {"version": 1, "routes": [
              {"name": "brief", "host": "a.example", "path_prefix": "/brief/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 300,
               "service": "assist", "max_attempts": 2, "resumable": true, "sticky": true, "gap_aim_ms": 200, "priority": 1}],
             "services": [{"name": "assist", "max_conns": 300, "health_path": "/health", "engine": {"slots": 48, "weights_mb": 140000.0, "adapter_slots": 8,
               "loads_per_s": 3.9, "kv_capacity": 113902, "models": [{"name": "m0", "weights_mb": 65500.0, "load_s": 6.0, "disk_s": 0.8, "warm_s": 0.8, "adapters": 0, "adapter_mb": 40.0}]}}],
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
             "tenants": [{"name": "crew", "api_keys": ["key-1"]}]}
            """);
        Engine.Behaviour behaviour = new Engine.Behaviour() {
            @Override
            public boolean crashes(Harness.Message request) {
                return request.header("Prompt-Prefix").contains("bad0bad0:");
            }

            @Override
            public boolean isFramed() {
                return !isUnframed;
            }

            @Override
            public int events(Harness.Message request) {
                return 47;
            }

            @Override
            public long eventMillis() {
                return 33;
            }
        };
        for (int number = 1; number <= ENGINES; number++) engines.add(new Engine(harness, store, "assist", "e" + number, Set.of("m0"), behaviour));
        int internalPort = Harness.freeInternalPort();
        Harness.Entry[] entries = {harness.new Entry(1, "zone-a", store.port, internalPort), harness.new Entry(2, "zone-a", store.port, internalPort)};
        for (Harness.Entry entry : entries) entry.start();
        for (Harness.Entry entry : entries) entry.awaitReady();
        Harness.sleep(4_500);

        harness.log("the caller's requests share the first part 0a0a0a0a");
        long startMillis = Harness.nowMillis();
        send(entries, 12_000, "0a0a0a0a", false);
        long troubleMillis = Harness.nowMillis();
        String first = isUnframed ? "0a0a0a0a" : "0b0b0b0b";
        harness.log("from now on the caller's requests share the first part %s; some hold the part bad0bad0: %s", first, harness.hasTrouble);
        send(entries, 24_000, first, harness.hasTrouble);
        long endMillis = Harness.nowMillis();
        Harness.sleep(4_000);
        return judge(startMillis, troubleMillis, endMillis);
    }

    /** Sends five sound requests a second and, if some crash engines, five of these in two seconds. */
    private void send(Harness.Entry[] entries, long lengthMillis, String firstPart, boolean withBad) {
        long endMillis = Harness.nowMillis() + lengthMillis;
        for (int tick = 0; Harness.nowMillis() < endMillis; tick++) {
            if (withBad && tick % 4 == 0) ask(entries[random.nextInt(2)], firstPart, "bad0bad0:68", false);
            if (tick % 2 == 1) ask(entries[random.nextInt(2)], firstPart, String.format("5e55%04x:68", random.nextInt(300)), true);
            Harness.sleep(100);
        }
    }

    private void ask(Harness.Entry entry, String firstPart, String secondPart, boolean isSound) {
        Sent request = new Sent((isSound ? "s" : "b") + sent.size(), isSound);
        sent.add(request);
        Harness.daemon(() -> {
            try (Harness.Http http = new Harness.Http(entry.host, entry.callerPort)) {
                http.socket.setSoTimeout(13_000);
                String body = "{\"ask\": \"" + request.id + "\"}";
                http.send("POST /brief/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + request.id + "\r\nDeadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\n"
                    + "Model: m0\r\nToken-Count: 714,282\r\nPrompt-Prefix: " + firstPart + ":103," + secondPart + "," + String.format("%08x", request.id.hashCode())
                    + ":543\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                Harness.Message answer = http.readAnswer();
                String text = new String(answer.body);
                request.answer = answer.status + (answer.status == 200 ? (text.endsWith("part 47 of 47\n\n") ? " whole" : " cut") : " " + text);
            } catch (Exception failed) {
                request.answer = failed.getMessage();
            }
        });
    }

    private int judge(long startMillis, long troubleMillis, long endMillis) {
        List<Long> crashes = engines.stream().flatMap(engine -> engine.crashes.values().stream()).sorted().toList();
        for (Sent request : sent) {
            harness.log("%s request %s sent at %d: began %s, %s", request.isSound ? "sound" : "bad", request.id, request.atMillis, began(request), request.answer);
        }
        harness.log("crashes of engines at %s", crashes);
        long countedCrash = crashes.isEmpty() ? troubleMillis : crashes.get(Math.min(crashes.size(), 5) - 1);
        long fromMillis = countedCrash + 2 * STABLE_WINDOW_MILLIS;
        double usual = share("outside the disruption", startMillis, troubleMillis);
        double during = share("from 2 x stable_window_ms after the fifth crash or the last one", fromMillis, endMillis);
        boolean isBroken = during < usual / 2;
        harness.log(isBroken ? "BROKEN: sound requests begin less than half as often as outside the disruption" : "HELD");
        return isBroken ? 1 : 0;
    }

    private double share(String when, long fromMillis, long toMillis) {
        List<Sent> sound = sent.stream().filter(request -> request.isSound && request.atMillis >= fromMillis && request.atMillis < toMillis).toList();
        long begun = sound.stream().filter(this::began).count();
        harness.log("%s: %d sound requests, of which %d began at the first attempt", when, sound.size(), begun);
        if (sound.size() < 20) throw new IllegalStateException("fewer than 20 sound requests " + when);
        return (double) begun / sound.size();
    }

    private boolean began(Sent request) {
        return engines.stream().anyMatch(engine -> engine.begun.containsKey(request.id));
    }
}
