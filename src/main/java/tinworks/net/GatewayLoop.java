package tinworks.net;

import io.netty.channel.EventLoop;

/** The event loop that a gateway runs on, with its clock. */
record GatewayLoop(EventLoop loop, MonotonicClock clock) {
    /** A new event loop, whose clock reports the loop's queueing delay. */
    static GatewayLoop dedicated() {
        LoopLag lag = new LoopLag();
        return new GatewayLoop(new ClosingEventLoopGroup(1, lag).next(), new MonotonicClock(lag::nanos));
    }

    /** An event loop shared with other users, whose clock reports no queueing delay; used for the warm-up. */
    static GatewayLoop shared(EventLoop loop) {
        return new GatewayLoop(loop, new MonotonicClock());
    }
}
