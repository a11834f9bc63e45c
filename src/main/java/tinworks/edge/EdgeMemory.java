package tinworks.edge;

import io.netty.util.internal.PlatformDependent;
import tinworks.net.BodyBudget;
import tinworks.net.ByteBudget;

/**
 * How much of an edge's memory the heads and bodies of all clients and hosts together may take: bodies of that outside
 * the heap, heads of the heap. The rest is for what is read and written at the moment, and for putting the parts of a
 * long body together.
 *
 * @param heads for heads of requests, from their first bytes until their hosts have done with them
 * @param shortRequests for bodies of requests up to {@link BodyBudget#SHORT_BODY_BYTES}
 * @param longRequests for longer ones
 * @param answers for bodies of answers over {@link BodyBudget#SHORT_BODY_BYTES}, from their heads until their clients
 *     have them
 */
record EdgeMemory(ByteBudget heads, ByteBudget shortRequests, ByteBudget longRequests, ByteBudget answers) {
    private static final int HEADS_PART = 6;
    private static final int SHORT_PART = 10;
    private static final int LONG_PART = 4;

    /** Parts of what this process may take. */
    static EdgeMemory ofThisProcess() {
        long most = PlatformDependent.maxDirectMemory();
        return new EdgeMemory(
                new ByteBudget(Runtime.getRuntime().maxMemory() / HEADS_PART),
                new ByteBudget(most / SHORT_PART),
                new ByteBudget(most / LONG_PART),
                new ByteBudget(most / LONG_PART));
    }

    /** For the bodies of requests. */
    BodyBudget requests() {
        return BodyBudget.split(shortRequests, longRequests);
    }
}
