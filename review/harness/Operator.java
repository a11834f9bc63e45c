import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in of the operator, by PROTOCOL: it goes on to another machine after a failure, a 5xx, a 408 or 429, or one
 * second of silence, with a pause that grows, and sends a call without a clear answer again unchanged. A 400, 409, 412,
 * 413 or 422 ends a call at once.
 */
final class Operator {
    private static final int SILENCE_MILLIS = 1_000;
    /** "A second of silence (more for large bodies)". */
    private static final int LARGE_BODY_SILENCE_MILLIS = 4_000;

    private static final int LARGE_BODY_CHARS = 1_000_000;
    private static final long MAX_PAUSE_MILLIS = 800;

    private final Deployment deployment;
    private int next;

    Operator(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Sends a configuration until its answer is clear; the last answer, which is not clear when the time is over. */
    Http.Answer replace(String what, long base, String json, long forMillis) throws InterruptedException {
        long until = deployment.millis() + forMillis;
        long pause = 100;
        Http.Answer answer;
        while (true) {
            int core = next++ % Deployment.CORES + 1;
            answer = Http.call(
                    deployment.coreAddress(core),
                    deployment.ctlPort,
                    "POST",
                    "/-/config/replace",
                    "Base-Rev: " + base + "\r\nContent-Type: application/json\r\n",
                    json.getBytes(StandardCharsets.UTF_8),
                    json.length() < LARGE_BODY_CHARS ? SILENCE_MILLIS : LARGE_BODY_SILENCE_MILLIS);
            deployment.note("operator: " + what + " to core-" + core + ": " + answer + " " + shorten(answer.text()));
            boolean unclear = answer.status() == 0
                    || answer.status() >= 500
                    || answer.status() == 408
                    || answer.status() == 429;
            if (!unclear || deployment.millis() > until) {
                return answer;
            }
            TimeUnit.MILLISECONDS.sleep(pause);
            pause = Math.min(MAX_PAUSE_MILLIS, pause * 2);
        }
    }

    private static String shorten(String text) {
        String line = text.strip();
        return line.length() > 100 ? line.substring(0, 100) + "..." : line;
    }
}
