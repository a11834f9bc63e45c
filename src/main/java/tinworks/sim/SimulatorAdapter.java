package tinworks.sim;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinworks.policy.LoadBalancer;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.Settings;
import tinworks.policy.SettingsReader;

/**
 * Plays gateways for the simulator: reads its batches of messages, passes them as events to one {@link LoadBalancer}
 * for each gateway, and writes the actions as messages. It decides nothing.
 */
public final class SimulatorAdapter {
    private static final int REPLY_CHARS = 1 << 16;

    private final LineReader in;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder(REPLY_CHARS);
    private final Map<Integer, SimulatedGateway> gateways = new HashMap<>();
    private final Message message = new Message();
    private final EventReader events = new EventReader(message);

    /** Reads batches from the one stream and answers on the other. */
    public SimulatorAdapter(InputStream in, OutputStream out) {
        this.in = new LineReader(in);
        this.out = out;
    }

    /** Answers batch after batch until the input ends. */
    public void run() throws IOException {
        while (readMessage()) {
            if (message.tag().isEmpty()) {
                continue;
            }
            expectTag("BATCH");
            answer(message.number("time_ns"), message.number("turn"));
        }
    }

    private void answer(long now, long turn) throws IOException {
        reply.setLength(0);
        while (true) {
            if (!readMessage()) {
                throw new MalformedInput(in.lineNumber(), "the input ends within a batch");
            }
            if (message.tag().equals("EOB")) {
                break;
            }
            take(now);
        }
        reply.append("NEXT\tturn=").append(turn).append('\n');
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private boolean readMessage() throws IOException {
        String line = in.next();
        if (line == null) {
            return false;
        }
        message.parse(line, in.lineNumber());
        return true;
    }

    private void expectTag(String tag) {
        if (!message.tag().equals(tag)) {
            throw new MalformedInput(in.lineNumber(), "expected " + tag + ", found '" + message.tag() + "'");
        }
    }

    private void take(long now) throws IOException {
        switch (message.tag()) {
            case "POOL" -> readPool();
            case "BEGIN" -> begin();
            case "RETIRE" -> {
                gateway();
                gateways.remove(message.integer("gateway"));
            }
            case "FLEET", "ASK", "EXPIRED", "STREAMING", "PING_RESULT", "WHISPER", "DONE", "REMINDER" -> {
                SimulatedGateway gateway = gateway();
                gateway.take(now, events.read(gateway));
            }
            default -> throw new MalformedInput(in.lineNumber(), "unknown message '" + message.tag() + "'");
        }
    }

    private SimulatedGateway gateway() {
        SimulatedGateway gateway = gateways.get(message.integer("gateway"));
        if (gateway == null) {
            throw new MalformedInput(
                    in.lineNumber(), message.tag() + " for unknown gateway " + message.text("gateway"));
        }
        return gateway;
    }

    private void begin() {
        int number = message.integer("gateway");
        long seed = message.number("prng");
        gateways.put(number, new SimulatedGateway(number, settings(), seed, reportColumns(), reply));
    }

    private Settings settings() {
        try {
            return new SettingsReader(message.all()).read();
        } catch (IllegalArgumentException e) {
            throw new MalformedInput(in.lineNumber(), e.getMessage());
        }
    }

    private List<ReportColumn> reportColumns() {
        String[] names = message.text("report.columns", "").split(",");
        return Arrays.stream(names).map(ReportColumn::named).toList();
    }

    private void readPool() throws IOException {
        int slot = events.slot();
        long rows = message.number("rows_in");
        List<ServerInfo> servers = new ArrayList<>();
        for (long i = 0; i < rows; i++) {
            if (!readMessage()) {
                throw new MalformedInput(in.lineNumber(), "the input ends within a POOL");
            }
            expectTag("ITEM");
            servers.add(events.server());
        }
        events.keep(slot, servers);
    }
}
