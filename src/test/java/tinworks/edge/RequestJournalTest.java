package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import tinworks.net.UnservedRequest;
import tinworks.net.UnservedRequest.AttemptSummary;
import tinworks.net.UnservedRequest.Ending;
import tinworks.policy.LoadBalancerApi.Outcome;
import tinworks.policy.Reason;

/** The page of unsuccessful requests, and the rate limit of its log lines. */
class RequestJournalTest {
    private final AtomicLong millis = new AtomicLong(5_000);
    private final List<String> logged = new ArrayList<>();
    private final RequestJournal journal = new RequestJournal(millis::get, logged::add);

    private void addRequest(String id, Ending ending) {
        journal.add(new UnservedRequest(id, "x.example/p/", ending, Reason.SHED, 2_000_000, List.of()), 7);
    }

    private String page() {
        return new String(journal.page(), StandardCharsets.UTF_8);
    }

    @Test
    void lineListsEachAttempt() {
        List<AttemptSummary> attempts = List.of(
                new AttemptSummary("i-1", Outcome.CONNECT_FAILED, 400_000_000), new AttemptSummary("i-2", null, 1));
        journal.add(
                new UnservedRequest("a1", "x.example/p/", Ending.FAILED, Reason.MAY_HAVE_RUN, 812_000_000, attempts),
                7);
        String line = "request=a1 class=x.example/p/ ending=FAILED reason=MAY_HAVE_RUN held=812ms"
                + " attempts=i-1:CONNECT_FAILED:400ms,i-2:OUT:0ms version=7";
        assertEquals(List.of(line), logged);
        assertTrue(page().endsWith(line + "\n"), page());
    }

    @Test
    void burstOfOneEndingIsRateLimitedAndHidesNoOther() {
        for (int i = 0; i < 1_000; i++) {
            addRequest("r" + i, Ending.REFUSED);
        }
        addRequest("f", Ending.FAILED);
        assertEquals(RequestJournal.LOG_BURST + 1, logged.size());
        millis.addAndGet(1_000);
        for (int i = 0; i < 1_000; i++) {
            addRequest("s" + i, Ending.REFUSED);
        }
        assertEquals(RequestJournal.LOG_BURST + 1 + RequestJournal.LOG_LINES_PER_SECOND, logged.size());
        assertTrue(
                logged.get(RequestJournal.LOG_BURST + 1).endsWith(" unlogged=" + (1_000 - RequestJournal.LOG_BURST)));
        assertEquals(RequestJournal.MAX_ENTRIES, page().lines().count());
        assertTrue(page().lines().noneMatch(line -> line.contains("request=r0 ")), "the oldest are evicted");
    }
}
