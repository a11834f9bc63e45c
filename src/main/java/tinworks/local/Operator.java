package tinworks.local;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The operator and the platform's watch, as seen from outside: calls that wait for their answers. */
public final class Operator {
    private static final Duration PATIENCE = Duration.ofSeconds(1);
    private static final long PAUSE_MILLIS = 100;
    private static final int OK = 200;

    private final HttpClient client = HttpClient.newBuilder()
            .connectTimeout(PATIENCE)
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    private final List<String> cores;

    /** An operator who knows the {@code ctl} addresses of core machines. */
    public Operator(List<String> cores) {
        this.cores = List.copyOf(cores);
    }

    /** Sends a configuration to one machine after another until it is taken; false when that takes too long. */
    public boolean replace(long base, String configuration, long longestMillis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longestMillis);
        for (int i = 0; System.nanoTime() < until; i++) {
            HttpRequest request = request(cores.get(i % cores.size()), "/-/config/replace")
                    .header("Base-Rev", Long.toString(base))
                    .POST(HttpRequest.BodyPublishers.ofString(configuration))
                    .build();
            if (ask(request).filter(answer -> answer.statusCode() == OK).isPresent()) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        return false;
    }

    /**
     * Sends a configuration to one machine after another, from this one on, until it is taken; how many calls that
     * took, or 0 when it takes too long.
     */
    public int replace(long base, byte[] configuration, int first, long longestMillis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longestMillis);
        for (int i = 0; System.nanoTime() < until; i++) {
            HttpRequest request = request(cores.get((first + i) % cores.size()), "/-/config/replace")
                    .header("Base-Rev", Long.toString(base))
                    .POST(HttpRequest.BodyPublishers.ofByteArray(configuration))
                    .build();
            if (ask(request).filter(answer -> answer.statusCode() == OK).isPresent()) {
                return i + 1;
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        return 0;
    }

    /** The newest configuration as one machine shows it, or nothing. */
    public Optional<String> show(int core) throws InterruptedException {
        return ask(request(cores.get(core), "/-/config/show").build())
                .filter(answer -> answer.statusCode() == OK)
                .map(HttpResponse::body);
    }

    /** What a core machine says of itself, or nothing where it is silent. */
    public Optional<String> status(int core) throws InterruptedException {
        return ask(request(cores.get(core), "/-/status").build()).map(HttpResponse::body);
    }

    /** Whether an edge calls itself ready. */
    public boolean isReady(String readyz) throws InterruptedException {
        return ask(request(readyz, "/-/readyz").build())
                .filter(answer -> answer.statusCode() == OK)
                .isPresent();
    }

    private static HttpRequest.Builder request(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(PATIENCE);
    }

    private Optional<HttpResponse<String>> ask(HttpRequest request) throws InterruptedException {
        try {
            return Optional.of(client.send(request, HttpResponse.BodyHandlers.ofString()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
