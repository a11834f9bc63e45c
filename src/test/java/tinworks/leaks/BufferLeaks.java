package tinworks.leaks;

import io.netty.util.ResourceLeakDetector;
import io.netty.util.ResourceLeakDetectorFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Netty's leak detection at level PARANOID; reports are collected here rather than logged. */
final class BufferLeaks extends ResourceLeakDetectorFactory {
    private final Queue<String> reports = new ConcurrentLinkedQueue<>();

    /** Installs the detector for all buffers of this process; must be called before the first buffer is allocated. */
    static BufferLeaks watch() {
        BufferLeaks leaks = new BufferLeaks();
        ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.PARANOID);
        setResourceLeakDetectorFactory(leaks);
        return leaks;
    }

    /** Returns the reports since the last call, each with the recorded accesses to the buffer. */
    List<String> take() {
        List<String> taken = new ArrayList<>();
        for (String report = reports.poll(); report != null; report = reports.poll()) {
            taken.add(report);
        }
        return taken;
    }

    /** The older form of {@link #newResourceLeakDetector(Class, int)}, which the factory must still implement. */
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
                reports.add(type + records);
            }

            @Override
            protected void reportUntracedLeak(String type) {
                reports.add(type);
            }
        };
    }
}
