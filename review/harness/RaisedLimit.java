import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case: the operator raises limits.bodyMaxBytes. Clients with kept connections then send bodies that only the new
 * version allows. Rule DENIED: more than 5 + one in 500 of all requests end with a 4xx of the system, although every
 * configuration that may be in force allows them.
 */
public final class RaisedLimit {
    private static final int CLIENTS = 30;
    private static final int ROUNDS_BEFORE = 20;
    private static final int SMALL_BODY = 300;
    private static final int LARGE_BODY = 1_800;
    private static final int LOW_LIMIT = 1_000;
    private static final int HIGH_LIMIT = 67_108_864;
    private static final long APPLY_MILLIS = 2_000;
    private static final long CONTACT_MILLIS = 4_000;

    private final Deployment deployment;
    private final List<Socket> clients = new ArrayList<>();
    private int requests;
    private int denied;
    private int otherFailures;
    private int number;

    private RaisedLimit(Deployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Platform platform = new Platform();
                Host first = new Host("i-1", 4, 400);
                Host second = new Host("i-2", 4, 400);
                Deployment deployment = new Deployment(Path.of(arguments[0]), platform.address())) {
            platform.add(first, "burnhouse");
            platform.add(second, "burnhouse");
            try {
                deployment.start(1);
                exit = new RaisedLimit(deployment).play(trouble, first, second);
            } catch (Exception e) {
                deployment.note("could not run: " + e);
            }
            deployment.note("exit " + exit);
        }
        System.exit(exit);
    }

    private int play(boolean trouble, Host first, Host second) throws Exception {
        Operator operator = new Operator(deployment);
        int before = trouble ? LOW_LIMIT : HIGH_LIMIT;
        if (operator.replace("version 1, bodyMaxBytes " + before, 0, configuration(1, before), 10_000).status() != 200) {
            return 2;
        }
        deployment.awaitReady(1);
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5_000);
            socket.connect(new InetSocketAddress(deployment.edgeAddress(1), deployment.httpPort), 1_000);
            clients.add(socket);
        }
        // Calm for longer than contactMs, with traffic on every connection.
        for (int i = 0; i < ROUNDS_BEFORE; i++) {
            sendOnEach(SMALL_BODY);
            Thread.sleep(CONTACT_MILLIS / ROUNDS_BEFORE);
        }
        if (operator.replace("version 2, bodyMaxBytes " + HIGH_LIMIT, 1, configuration(2, HIGH_LIMIT), 10_000).status()
                != 200) {
            return 2;
        }
        long acknowledged = deployment.millis();
        while (deployment.millis() < acknowledged + APPLY_MILLIS + 500) {
            sendOnEach(SMALL_BODY);
            Thread.sleep(200);
        }
        if (denied + otherFailures > 0) {
            deployment.note("bodies inside both limits: " + denied + " denied, " + otherFailures + " failed otherwise");
            return 2;
        }
        Http.Answer fresh = post(null, LARGE_BODY);
        deployment.note("a body of " + LARGE_BODY + " bytes on a new connection, "
                + (deployment.millis() - acknowledged) + " ms after the acknowledgement: " + fresh);
        sendOnEach(LARGE_BODY);
        double allowed = 5 + requests / 500.0;
        int ran = first.ran().size() + second.ran().size();
        deployment.note(requests + " requests in all, " + ran + " run by hosts, " + denied
                + " answered 4xx by the edge (allowed: " + allowed + "), " + otherFailures + " failed otherwise");
        boolean broken = denied > allowed;
        deployment.note(broken ? "DENIED is broken" : "DENIED is kept");
        if (fresh.status() != 200 || otherFailures > 0 || (!trouble && denied > 0)) {
            return 2;
        }
        return broken ? 1 : 0;
    }

    private void sendOnEach(int bytes) throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            Http.Answer answer = post(clients.get(i), bytes);
            boolean own = answer.header("Origin-Seal") == null;
            if (own && answer.status() >= 400 && answer.status() < 500) {
                denied++;
                deployment.note("client " + i + ", " + bytes + " bytes on its kept connection: " + answer + " "
                        + answer.text().strip());
            } else if (answer.status() != 200) {
                otherFailures++;
                deployment.note("client " + i + ", " + bytes + " bytes: " + answer);
            }
        }
    }

    private Http.Answer post(Socket kept, int bytes) throws IOException {
        requests++;
        String headers = String.format("Attempt-Id: %016x\r\nDeadline-Ms: 3000\r\n", ++number);
        if (kept != null) {
            return Http.exchange(kept, "jepu9.example", "POST", "/lepu270/2f", headers, new byte[bytes]);
        }
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(5_000);
            socket.connect(new InetSocketAddress(deployment.edgeAddress(1), deployment.httpPort), 1_000);
            return Http.exchange(socket, "jepu9.example", "POST", "/lepu270/2f", headers, new byte[bytes]);
        }
    }

    private static String configuration(int rev, int bodyMaxBytes) {
        return "{\"rev\":" + rev + ",\"routes\":[{\"name\":\"r-1\",\"domain\":\"jepu9.example\",\"prefix\":"
                + "\"/lepu270/\",\"type\":\"mutating\",\"timeoutMs\":3000,\"targetMs\":800,\"prio\":1,\"svc\":"
                + "\"burnhouse\",\"tries\":2}],\"svcs\":[{\"name\":\"burnhouse\",\"check\":\"/healthz\",\"maxconn\":110,"
                + "\"proto\":\"h1\",\"tls\":false}],\"limits\":{\"hdrBytes\":16384,\"bodyMaxBytes\":" + bodyMaxBytes
                + ",\"hdrMs\":3000,\"idleMs\":15000}}";
    }
}
