package tinworks.leaks;

import io.netty.util.ResourceLeakDetector;
import io.netty.util.ResourceLeakDetectorFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Netty's leak detection at its strictest, which keeps what it finds in place of writing it to a log. */
final class BufferLeaks extends ResourceLeakDetectorFactory {
    private final Queue<String> found = new ConcurrentLinkedQueue<>();

    /** Begins to watch all buffers of this process; to be called before the first of them is made. */
    static BufferLeaks watch() {
        BufferLeaks leaks = new BufferLeaks();
        ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.PARANOID);
        setResourceLeakDetectorFactory(leaks);
        return leaks;
    }

    /** The reports since the last call, each with the places that touched the buffer. */
    List<String> take() {
        List<String> taken = new ArrayList<>();
        for (String report = found.poll(); report != null; report = found.poll()) {
            taken.add(report);
        }
        return taken;
    }

    /** An older form of the other, which the factory still has to have. */
    @Override
    @Deprecated
    @SuppressWarnings("InlineMeSuggester")
    public <T> ResourceLeakDetector<T> newResourceLeakDetector(
            Class<T> resource, int samplingInterval, long maxActive) {
        return newResourceLeakDetector(resource, samplingInterval);
    }

    @Override
    public <T> ResourceLeakDetector<T> newResourceLeakDetector(Class<T> resource, int samplingInterval) {
        return new ResourceLeakDetector<>(resource, samplingInterval) {
            @Override
            protected boolean needReport() {
                return true;
            }

            @Override
            protected void reportTracedLeak(String type, String records) {
                found.add(type + records);
            }

            @Override
            protected void reportUntracedLeak(String type) {
                found.add(type);
            }
        };
    }
}
