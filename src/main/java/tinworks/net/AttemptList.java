package tinworks.net;

import java.util.ArrayList;
import java.util.List;
import tinworks.net.UnservedRequest.AttemptSummary;

/** The attempts of one request at hosts, in their order. */
final class AttemptList {
    private final List<HostPool.Attempt> attempts = new ArrayList<>(1);
    private final List<String> hosts = new ArrayList<>(1);

    /** Adds an attempt that was begun. */
    void add(String host, HostPool.Attempt attempt) {
        hosts.add(host);
        attempts.add(attempt);
    }

    int size() {
        return attempts.size();
    }

    HostPool.Attempt get(int number) {
        return attempts.get(number);
    }

    int indexOf(HostPool.Attempt attempt) {
        return attempts.indexOf(attempt);
    }

    /** The host of an attempt. */
    String host(int number) {
        return hosts.get(number);
    }

    /** Whether each has ended, and proves that the request didn't run. */
    boolean allProvenNotExecuted() {
        for (HostPool.Attempt attempt : attempts) {
            if (attempt.outcome() == null || !attempt.outcome().provesNotExecuted()) {
                return false;
            }
        }
        return true;
    }

    /** What became of each by a time. */
    List<AttemptSummary> summaries(long now) {
        List<AttemptSummary> summaries = new ArrayList<>(attempts.size());
        for (int i = 0; i < attempts.size(); i++) {
            HostPool.Attempt attempt = attempts.get(i);
            summaries.add(new AttemptSummary(hosts.get(i), attempt.outcome(), attempt.durationNanos(now)));
        }
        return summaries;
    }
}
