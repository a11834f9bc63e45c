package tinworks.soak;

import java.nio.file.Path;
import java.util.List;

/**
 * What is played.
 *
 * @param seed of all that is drawn
 * @param cores core machines, 3 or more
 * @param edges edges, 1 or more
 * @param hostsPerService hosts of each of three services, 2 or more
 * @param perSecond requests a second of all kinds together
 * @param troubles what goes wrong
 * @param seconds how long clients ask before the calm at the end
 * @param javaOptions options of each process of the system
 * @param keep where logs and the script of a day with a breach go
 */
public record SoakPlan(
        long seed,
        int cores,
        int edges,
        int hostsPerService,
        double perSecond,
        List<Trouble> troubles,
        long seconds,
        List<String> javaOptions,
        Path keep) {
    /** As in deploy/system.toml, but for the archive of classes. */
    public static final List<String> DEPLOYED = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:CICompilerCount=1",
            "-XX:-UsePerfData",
            "-Xms5m",
            "-Xmx48m",
            "-Xmn2m",
            "-Xss256k",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=16m",
            "-XX:MaxDirectMemorySize=64m",
            "-XX:+ExitOnOutOfMemoryError",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-Dio.netty.allocator.maxOrder=5",
            "-Djava.net.preferIPv4Stack=true");

    /** Keeps its own lists. */
    public SoakPlan {
        troubles = List.copyOf(troubles);
        javaOptions = List.copyOf(javaOptions);
    }
}
