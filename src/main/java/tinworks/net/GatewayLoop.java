package tinworks.net;

import io.netty.channel.EventLoop;

/** The event loop that a gateway runs on, and the clock that goes with it. */
record GatewayLoop(EventLoop loop, MonotonicClock clock) {
    /** A loop of its own, whose clock knows how long what the loop reads may have lain unread while it was busy. */
    static GatewayLoop watched() {
        LoopLag lag = new LoopLag();
        return new GatewayLoop(new ClosingEventLoopGroup(1, lag).next(), new MonotonicClock(lag::nanos));
    }

    /** A loop that is not only the gateway's, with a clock that takes nothing for held up: for a rehearsal. */
    static GatewayLoop unwatched(EventLoop loop) {
        return new GatewayLoop(loop, new MonotonicClock());
    }
}
