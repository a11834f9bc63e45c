package tinworks.edge;

import io.netty.util.internal.PlatformDependent;
import tinworks.net.BodyBudget;
import tinworks.net.ByteBudget;

/**
 * Memory budgets of an edge for the message heads and bodies of all clients and hosts together. Bodies take direct
 * memory, heads take heap. The remainder is left for socket buffers and for assembling the parts of a long body.
 *
 * @param heads heads of requests, from their first byte until they have a response and no attempt in flight
 * @param shortRequests bodies of requests up to {@link BodyBudget#SHORT_BODY_BYTES}
 * @param longRequests bodies of longer requests
 * @param responses bodies of responses over {@link BodyBudget#SHORT_BODY_BYTES}, from their heads until they have been
 *     written to the clients
 */
record EdgeMemory(ByteBudget heads, ByteBudget shortRequests, ByteBudget longRequests, ByteBudget responses) {
    private static final int HEADS_DIVISOR = 6;
    private static final int SHORT_DIVISOR = 10;
    private static final int LONG_DIVISOR = 4;

    /** Budgets as fractions of this process's memory limits. */
    static EdgeMemory ofThisProcess() {
        long maxDirectBytes = PlatformDependent.maxDirectMemory();
        return new EdgeMemory(
                new ByteBudget(Runtime.getRuntime().maxMemory() / HEADS_DIVISOR),
                new ByteBudget(maxDirectBytes / SHORT_DIVISOR),
                new ByteBudget(maxDirectBytes / LONG_DIVISOR),
                new ByteBudget(maxDirectBytes / LONG_DIVISOR));
    }

    /** The budget for request bodies. */
    BodyBudget requestBodies() {
        return BodyBudget.split(shortRequests, longRequests);
    }
}
