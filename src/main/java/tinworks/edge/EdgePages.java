package tinworks.edge;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import tinworks.metrics.MetricsPage;
import tinworks.net.ClientServer;
import tinworks.net.ClientServer.BadRequest;
import tinworks.net.ClientServer.Reply;

/** The pages served at the readyz address of an edge: readiness, metrics, and the latest failed requests. */
final class EdgePages implements ClientServer.Listener {
    /** Readiness probe. */
    static final String READYZ = "/-/readyz";
    /** Metrics in the Prometheus format. */
    static final String METRICS = "/-/metrics";
    /** The latest unsuccessful requests. */
    static final String REQUESTS = "/-/requests";

    private static final String PLAIN_TEXT = "text/plain; charset=utf-8";

    private final BooleanSupplier ready;
    private final Supplier<MetricsPage> metrics;
    private final RequestJournal journal;

    EdgePages(BooleanSupplier ready, Supplier<MetricsPage> metrics, RequestJournal journal) {
        this.ready = ready;
        this.metrics = metrics;
        this.journal = journal;
    }

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public void onRequest(FullHttpRequest request, long receivedAt, Reply reply) throws BadRequest {
        switch (request.uri()) {
            case METRICS -> write(reply, MetricsPage.CONTENT_TYPE, metrics.get().text());
            case REQUESTS -> write(reply, PLAIN_TEXT, journal.page());
            default ->
                throw new BadRequest(
                        HttpResponseStatus.NOT_FOUND,
                        "only " + READYZ + ", " + METRICS + " and " + REQUESTS + " are asked here");
        }
    }

    private static void write(Reply reply, String type, byte[] text) {
        reply.write(
                HttpResponseStatus.OK,
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, type),
                Unpooled.wrappedBuffer(text),
                0);
    }
}
