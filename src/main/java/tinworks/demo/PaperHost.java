package tinworks.demo;

import java.net.InetSocketAddress;
import tinworks.standin.Listable;
import tinworks.standin.StandInHost.Nature;

/** A host that stands on the list alone: nobody listens at its address. */
record PaperHost(Nature nature, InetSocketAddress address) implements Listable {
    @Override
    public boolean isDraining() {
        return false;
    }

    @Override
    public long warmupLeftMillis() {
        return 0;
    }
}
