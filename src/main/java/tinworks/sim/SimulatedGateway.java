package tinworks.sim;

import java.util.HexFormat;
import java.util.List;
import tinworks.policy.LoadBalancer;
import tinworks.policy.LoadBalancerApi.Actions;
import tinworks.policy.LoadBalancerApi.Event;
import tinworks.policy.LoadBalancerApi.Settings;

/** One gateway of the simulation: its decision module, and the messages that its actions become. */
final class SimulatedGateway implements Actions {
    private static final HexFormat HEX = HexFormat.of();

    private final String prefix;
    private final List<ReportColumn> reportColumns;
    private final StringBuilder reply;
    private final LoadBalancer choice;
    private boolean failed;

    SimulatedGateway(int number, Settings settings, long seed, List<ReportColumn> reportColumns, StringBuilder reply) {
        this.prefix = "\tgateway=" + number;
        this.reportColumns = reportColumns;
        this.reply = reply;
        this.choice = new LoadBalancer(settings, seed, this);
    }

    /** Passes an event to the module; one that throws ends this gateway with a message. */
    void take(long now, Event event) {
        if (failed) {
            return;
        }
        try {
            choice.onEvent(now, event);
        } catch (RuntimeException e) {
            failed = true;
            line("GIVE_IN").append("\tmessage=").append(oneLine(e.toString())).append('\n');
        }
    }

    /** The columns of the load reports that come from its hosts; null for those without a use. */
    List<ReportColumn> reportColumns() {
        return reportColumns;
    }

    private StringBuilder line(String tag) {
        return reply.append(tag).append(prefix);
    }

    private static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\t', ' ').replace('\r', ' ');
    }

    @Override
    public void send(String request, String server, long timeoutNanos) {
        line("FORWARD")
                .append("\trid=")
                .append(request)
                .append("\thost=")
                .append(server)
                .append("\ttry_for_ns=")
                .append(timeoutNanos)
                .append('\n');
    }

    @Override
    public void refuse(String request, long pauseNanos) {
        line("DENY")
                .append("\trid=")
                .append(request)
                .append("\tpause_ns=")
                .append(pauseNanos)
                .append('\n');
    }

    @Override
    public void fail(String request) {
        line("GIVE_UP").append("\trid=").append(request).append('\n');
    }

    @Override
    public void cancel(String request, int attempt) {
        line("UNDO_SEND")
                .append("\trid=")
                .append(request)
                .append("\tsend_no=")
                .append(attempt)
                .append('\n');
    }

    @Override
    public void probe(String server) {
        line("INSPECT").append("\thost=").append(server).append('\n');
    }

    @Override
    public void sendToPeers(byte[] body) {
        line("WRITE_PEER")
                .append("\tpeer=all\tbody=")
                .append(body.length == 0 ? "-" : HEX.formatHex(body))
                .append('\n');
    }

    @Override
    public void setTimer(long delayNanos, long token) {
        line("REMIND")
                .append("\toffset_ns=")
                .append(delayNanos)
                .append("\tnonce=")
                .append(token)
                .append('\n');
    }

    @Override
    public void subscribe() {
        line("SUBSCRIBE").append("\tactive=1\n");
    }

    @Override
    public void fetchList() {
        line("RESOLVE").append('\n');
    }

    @Override
    public void log(String text) {
        line("WRITE_LOG").append("\tmessage=").append(oneLine(text)).append('\n');
    }
}
