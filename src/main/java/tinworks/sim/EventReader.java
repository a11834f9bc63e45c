package tinworks.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import tinworks.policy.LoadBalancerApi.AttemptEnded;
import tinworks.policy.LoadBalancerApi.ClientDisconnected;
import tinworks.policy.LoadBalancerApi.Event;
import tinworks.policy.LoadBalancerApi.LoadReport;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.LoadBalancerApi.PeerMessageReceived;
import tinworks.policy.LoadBalancerApi.Probed;
import tinworks.policy.LoadBalancerApi.Readiness;
import tinworks.policy.LoadBalancerApi.RequestArrived;
import tinworks.policy.LoadBalancerApi.ServerInfo;
import tinworks.policy.LoadBalancerApi.ServerListKind;
import tinworks.policy.LoadBalancerApi.ServerListReceived;
import tinworks.policy.LoadBalancerApi.StreamStarted;
import tinworks.policy.LoadBalancerApi.TimerFired;

/** Reads the simulator's messages as events, and keeps the lists of servers that they name by their slots. */
final class EventReader {
    private static final HexFormat HEX = HexFormat.of();
    private static final int SLOTS = 16;

    private final Message message;
    private final List<List<ServerInfo>> lists = new ArrayList<>(Collections.nCopies(SLOTS, null));

    /** Reads from the one message, whichever line it holds. */
    EventReader(Message message) {
        this.message = message;
    }

    /** The event that the message is; it depends on the gateway which columns a load report has. */
    Event read(SimulatedGateway gateway) {
        return switch (message.tag()) {
            case "FLEET" -> listReceived();
            case "ASK" ->
                new RequestArrived(
                        message.text("rid"),
                        message.text("band"),
                        tenant(),
                        message.optional("item"),
                        message.number("expires_in_ns"),
                        message.number("weight_hint_ns", 0),
                        message.number("is_retry", 0) == 1);
            case "EXPIRED" -> new ClientDisconnected(message.text("rid"));
            case "STREAMING" ->
                new StreamStarted(message.text("rid"), message.integer("send_no"), message.text("host"));
            case "PING_RESULT" ->
                new Probed(message.text("host"), outcome(), message.number("delay_seen_ns"), load(gateway));
            case "WHISPER" -> new PeerMessageReceived(message.integer("neighbour"), body());
            case "DONE" ->
                new AttemptEnded(
                        message.text("rid"),
                        message.integer("send_no"),
                        message.text("host"),
                        outcome(),
                        message.number("delay_seen_ns"),
                        message.number("over", 0) == 1,
                        load(gateway));
            default -> new TimerFired(message.number("nonce"));
        };
    }

    private String tenant() {
        String tenant = message.optional("realm");
        return "0".equals(tenant) ? null : tenant;
    }

    private byte[] body() {
        String hex = message.text("body");
        try {
            return hex.equals("-") ? new byte[0] : HEX.parseHex(hex);
        } catch (IllegalArgumentException e) {
            throw message.malformed("body is not hex: '" + hex + "'");
        }
    }

    private Outcome outcome() {
        String code = message.text("outcome");
        return switch (code) {
            case "pass" -> Outcome.SERVED;
            case "fault" -> Outcome.ERROR;
            case "no_room" -> Outcome.FULL;
            case "too_slow" -> Outcome.TIMED_OUT;
            case "no_route" -> Outcome.CONNECT_FAILED;
            case "cut" -> Outcome.RESET;
            case "undone" -> Outcome.CANCELLED;
            case "stale_send" -> Outcome.NOT_SENT;
            default -> throw message.malformed("unknown outcome '" + code + "'");
        };
    }

    private LoadReport load(SimulatedGateway gateway) {
        String row = message.optional("load");
        if (row == null || row.isEmpty()) {
            return null;
        }
        double[] values = new double[ReportColumn.values().length];
        Arrays.fill(values, Double.NaN);
        String[] parts = row.split(",", -1);
        List<ReportColumn> columns = gateway.reportColumns();
        for (int i = 0; i < parts.length && i < columns.size(); i++) {
            if (columns.get(i) != null) {
                values[columns.get(i).ordinal()] = message.decimal(parts[i], "load");
            }
        }
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }

    private Event listReceived() {
        int scope = message.integer("scope");
        ServerListKind kind = switch (scope) {
            case 0 -> ServerListKind.FAILED;
            case 1 -> ServerListKind.FULL;
            case 2 -> ServerListKind.CHANGES;
            case 3 -> ServerListKind.CACHED;
            default -> throw message.malformed("unknown scope " + scope);
        };
        if (kind == ServerListKind.FAILED) {
            return new ServerListReceived(kind, List.of());
        }
        List<ServerInfo> servers = lists.get(slot());
        if (servers == null) {
            throw message.malformed("FLEET names slot " + message.text("slot") + ", never filled");
        }
        return new ServerListReceived(kind, servers);
    }

    /** Keeps a list of servers in the slot that the message names. */
    void keep(int slot, List<ServerInfo> servers) {
        lists.set(slot, List.copyOf(servers));
    }

    /** The server that the message describes. */
    ServerInfo server() {
        return new ServerInfo(
                message.text("host"),
                message.text("dc"),
                message.text("kind", ""),
                message.integer("group", 0),
                readiness(),
                message.decimal(message.text("capacity_hint", "1"), "capacity_hint"),
                message.number("online_since_ns", 0));
    }

    /** The slot that the message names. */
    int slot() {
        int slot = message.integer("slot");
        if (slot < 0 || slot >= SLOTS) {
            throw message.malformed("slot " + slot + " is not in 0 to " + (SLOTS - 1));
        }
        return slot;
    }

    private Readiness readiness() {
        int status = message.integer("status");
        return switch (status) {
            case 0 -> Readiness.REMOVED;
            case 1 -> Readiness.READY;
            case 2 -> Readiness.DRAINING;
            default -> throw message.malformed("unknown status " + status);
        };
    }
}
