package tinworks.standin;

import java.net.InetSocketAddress;

/** What the platform's list shows of a host. */
public interface Listable {
    /** What it is like. */
    StandInHost.Nature nature();

    /** Where it listens. */
    InetSocketAddress address();

    /** Whether it is about to end. */
    boolean isDraining();

    /** How much longer it is slow from its start, in milliseconds. */
    long warmupLeftMillis();
}
