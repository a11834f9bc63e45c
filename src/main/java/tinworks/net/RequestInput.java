package tinworks.net;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import java.util.function.BooleanSupplier;

/**
 * The decoder and the aggregator of one connection's requests. Netty fixes their limits at their creation, so both are
 * replaced between two requests once the limits have changed: each request is read under the limits that were in force
 * when its first line was complete.
 */
final class RequestInput {
    private final ByteBudget heads;
    private final BodyBudget bodies;
    private final BooleanSupplier mayContinue;
    private int maxHeadBytes;
    private int maxBodyBytes;
    private RequestDecoder decoder;
    private RequestAggregator aggregator;

    /** Heads and bodies reserve memory from the budgets; {@code mayContinue} is for {@link RequestAggregator}. */
    RequestInput(int maxHeadBytes, int maxBodyBytes, ByteBudget heads, BodyBudget bodies, BooleanSupplier mayContinue) {
        this.heads = heads;
        this.bodies = bodies;
        this.mayContinue = mayContinue;
        create(maxHeadBytes, maxBodyBytes);
    }

    private void create(int headBytes, int bodyBytes) {
        maxHeadBytes = headBytes;
        maxBodyBytes = bodyBytes;
        decoder = new RequestDecoder(headBytes, heads);
        aggregator = new RequestAggregator(mayContinue, bodyBytes, bodies);
    }

    /** The first handler of the pipeline. */
    ChannelHandler decoder() {
        return decoder;
    }

    /** The handler that passes on complete requests. */
    ChannelHandler aggregator() {
        return aggregator;
    }

    /**
     * Reads the next request under these limits. Without effect within a request, so it is to be called again once the
     * request is complete. Bytes that the decoder holds of the next request go to the new one, which may pass that
     * request on during this call.
     */
    void applyLimits(ChannelPipeline pipeline, int headBytes, int bodyBytes) {
        boolean unchanged = headBytes == maxHeadBytes && bodyBytes == maxBodyBytes;
        if (unchanged || !decoder.isBetweenRequests() || aggregator.isInBody()) {
            return;
        }
        releaseReservations();
        RequestDecoder oldDecoder = decoder;
        RequestAggregator oldAggregator = aggregator;
        create(headBytes, bodyBytes);
        // The aggregator first, since replacing the decoder passes on the bytes that it holds.
        pipeline.replace(oldAggregator, null, aggregator);
        pipeline.replace(oldDecoder, null, decoder);
    }

    /** Whether a part of a request has been received, but not its end. */
    boolean isInRequest() {
        return decoder.hasPartialHead() || aggregator.isInBody();
    }

    /** Passes the reservation for the completed head to the caller, who releases it. */
    Reservation detachHeadReservation() {
        return decoder.detachReservation();
    }

    /** Passes the reservation for the completed body to the caller, who releases it. */
    Reservation detachBodyReservation() {
        return aggregator.detachReservation();
    }

    /** Releases the memory that is reserved for a request that will not be completed. */
    void releaseReservations() {
        decoder.detachReservation().release();
        aggregator.releaseReservation();
    }
}
