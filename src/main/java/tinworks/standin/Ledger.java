package tinworks.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import tinworks.load.LoadClients;

/**
 * What hosts ran and what clients were told, to find requests that ran twice and promises that were broken. A request's
 * tries carry its name, a dash and their own number. Used on one event loop; the oldest requests are forgotten.
 */
public final class Ledger implements LoadClients.Watcher {
    private static final int REQUESTS_KEPT = 200_000;

    private static final class Account {
        private int runs;
        private boolean once;
        private boolean toldNotRun;
    }

    private final Map<String, Account> accounts = bounded();
    private final Map<String, Account> tries = bounded();
    private long twice;
    private long brokenPromises;
    private long unasked;

    private static Map<String, Account> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Account> eldest) {
                return size() > REQUESTS_KEPT;
            }
        };
    }

    @Override
    public void sent(String attemptId, boolean once) {
        request(attemptId).once = once;
        tries.put(attemptId, new Account());
    }

    /** A host has begun to work on a try. */
    public void ran(String attemptId) {
        Account attempt = tries.get(attemptId);
        if (attempt == null) {
            unasked++;
            return;
        }
        attempt.runs++;
        Account request = request(attemptId);
        request.runs++;
        if (request.once && request.runs == 2) {
            twice++;
        }
        if (request.once && attempt.toldNotRun) {
            brokenPromises++;
        }
    }

    @Override
    public void promisedNotRun(String attemptId) {
        Account attempt = tries.get(attemptId);
        if (attempt != null) {
            attempt.toldNotRun = true;
            if (attempt.runs > 0 && request(attemptId).once) {
                brokenPromises++;
            }
        }
    }

    /** Requests that may run once and ran more often. */
    public long twice() {
        return twice;
    }

    /** Tries of such requests that ran though the client was told otherwise. */
    public long brokenPromises() {
        return brokenPromises;
    }

    /** Runs of tries that no client had sent, those forgotten among them. */
    public long unasked() {
        return unasked;
    }

    private Account request(String attemptId) {
        int dash = attemptId.lastIndexOf('-');
        return accounts.computeIfAbsent(dash < 0 ? attemptId : attemptId.substring(0, dash), name -> new Account());
    }
}
