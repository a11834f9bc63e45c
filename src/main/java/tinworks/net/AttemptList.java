package tinworks.net;

import java.util.ArrayList;
import java.util.List;
import tinworks.net.UnservedRequest.AttemptSummary;

/** The attempts of one request, in the order in which they were sent. */
final class AttemptList {
    private final List<HostPool.Attempt> attempts = new ArrayList<>(1);
    private final List<String> hosts = new ArrayList<>(1);

    /** Adds an attempt that was started. */
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

    /** The host of the attempt with this number. */
    String host(int number) {
        return hosts.get(number);
    }

    /** Whether all attempts have ended with outcomes that prove that the request was not executed. */
    boolean allProvenNotExecuted() {
        for (HostPool.Attempt attempt : attempts) {
            if (attempt.outcome() == null || !attempt.outcome().provesNotExecuted()) {
                return false;
            }
        }
        return true;
    }

    /** The state of each attempt at the given time. */
    List<AttemptSummary> summaries(long nowNanos) {
        List<AttemptSummary> summaries = new ArrayList<>(attempts.size());
        for (int i = 0; i < attempts.size(); i++) {
            HostPool.Attempt attempt = attempts.get(i);
            summaries.add(new AttemptSummary(hosts.get(i), attempt.outcome(), attempt.durationNanos(nowNanos)));
        }
        return summaries;
    }
}
