package tinworks.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import tinworks.edge.AtMostOnceSweep.Report;
import tinworks.edge.FaultInjectingHost.AttemptEnding;
import tinworks.invariant.BreaksInvariants;
import tinworks.invariant.Invariant;
import tinworks.net.ClientServer.Reply;
import tinworks.net.HostPool.Response;
import tinworks.net.HostPool.ResponseMatch;
import tinworks.policy.LoadBalancerApi.Outcome;

/**
 * Mutation test: every guard that docs/design/at-most-once.md names is needed, as {@link AtMostOnceSweep} fails without
 * it.
 */
@Timeout(value = 240, unit = TimeUnit.SECONDS)
@BreaksInvariants(Invariant.OWN_ANSWER)
class AtMostOnceMutantsTest {
    private static final int POSITION_STEP = 9;

    /** A protocol without one of its guards, and the attempt endings that reveal it. */
    private record Mutant(String name, EdgeProtocol protocol, Set<AttemptEnding> detectedBy) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Mutant> mutants() {
        return Stream.of(
                new Mutant(
                        "any response is taken for the request's own",
                        new EdgeProtocol(1) {
                            @Override
                            public ResponseMatch match(String request, HttpHeaders headers) {
                                return ResponseMatch.THIS_REQUEST;
                            }
                        },
                        EnumSet.of(
                                AttemptEnding.STRAY,
                                AttemptEnding.STRAY_PROMISE_ALONE,
                                AttemptEnding.STRAY_MISDIRECTED_ALONE)),
                new Mutant(
                        "a response without an id is taken for the request's own",
                        new EdgeProtocol(1) {
                            @Override
                            public ResponseMatch match(String request, HttpHeaders headers) {
                                ResponseMatch match = super.match(request, headers);
                                return match == ResponseMatch.UNIDENTIFIED ? ResponseMatch.THIS_REQUEST : match;
                            }
                        },
                        EnumSet.of(AttemptEnding.NOT_RUN_WITHOUT_ID)),
                new Mutant(
                        "a 429 or 503 alone proves that nothing ran",
                        new EdgeProtocol(1) {
                            @Override
                            public Outcome outcome(String request, HttpResponse head, boolean framed) {
                                int status = head.status().code();
                                return status == 429 || status == 503
                                        ? Outcome.FULL
                                        : super.outcome(request, head, framed);
                            }
                        },
                        EnumSet.of(AttemptEnding.BUSY, AttemptEnding.TOO_MANY)),
                new Mutant(
                        "Not-Run proves that nothing ran, whatever the status",
                        new EdgeProtocol(1) {
                            @Override
                            public Outcome outcome(String request, HttpResponse head, boolean framed) {
                                return head.headers().contains("Not-Run")
                                        ? Outcome.FULL
                                        : super.outcome(request, head, framed);
                            }
                        },
                        EnumSet.of(AttemptEnding.NOT_RUN_200)),
                new Mutant(
                        "a success needs no seal",
                        new EdgeProtocol(1) {
                            @Override
                            public Outcome outcome(String request, HttpResponse head, boolean framed) {
                                return head.status().code() == 200 && framed
                                        ? Outcome.SERVED
                                        : super.outcome(request, head, framed);
                            }
                        },
                        EnumSet.of(AttemptEnding.UNSEALED, AttemptEnding.ENCODED)),
                new Mutant(
                        "a host's own 503, 429 and 408 are passed on",
                        new EdgeProtocol(1) {
                            @Override
                            public void fail(Reply reply, Response last) {
                                if (last == null) {
                                    super.fail(reply, null);
                                } else {
                                    reply.write(
                                            last.head().status(),
                                            new DefaultHttpHeaders(),
                                            last.body().retain(),
                                            0);
                                }
                            }
                        },
                        EnumSet.of(AttemptEnding.BUSY, AttemptEnding.TOO_MANY, AttemptEnding.TOO_LATE)),
                new Mutant(
                        "the edge's own response keeps the host's seal",
                        new EdgeProtocol(1) {
                            @Override
                            public void fail(Reply reply, Response last) {
                                DefaultHttpHeaders headers = new DefaultHttpHeaders();
                                if (last != null && last.head().headers().contains("Origin-Seal")) {
                                    headers.set(
                                            "Origin-Seal", last.head().headers().get("Origin-Seal"));
                                }
                                reply.write(HttpResponseStatus.BAD_GATEWAY, headers, Unpooled.EMPTY_BUFFER, 0);
                            }
                        },
                        EnumSet.of(
                                AttemptEnding.BUSY,
                                AttemptEnding.TOO_MANY,
                                AttemptEnding.TOO_LATE,
                                AttemptEnding.FAILED,
                                AttemptEnding.FAILED_UNUSUAL_STATUS)),
                new Mutant(
                        "a failed request that may have run is refused",
                        new EdgeProtocol(1) {
                            @Override
                            public void fail(Reply reply, Response last) {
                                refuse(reply, 0);
                            }
                        },
                        EnumSet.of(
                                AttemptEnding.RESET,
                                AttemptEnding.CLOSE,
                                AttemptEnding.SILENCE,
                                AttemptEnding.REQUEST_CUT)));
    }

    @ParameterizedTest
    @MethodSource("mutants")
    void sweepFailsWithoutThisGuard(Mutant mutant) throws Exception {
        Report report = AtMostOnceSweep.run(
                mutant.protocol,
                AtMostOnceSweep.cases(
                        true,
                        candidate -> mutant.detectedBy.contains(candidate.ending())
                                && candidate.position() % POSITION_STEP == 0));
        assertFalse(report.failures().isEmpty(), "not detected in " + report.cases() + " cases");
        Set<AttemptEnding> detected = EnumSet.noneOf(AttemptEnding.class);
        mutant.detectedBy.stream()
                .filter(ending ->
                        report.failures().stream().anyMatch(fault -> fault.contains("ending=" + ending + ",")))
                .forEach(detected::add);
        assertEquals(mutant.detectedBy, detected, () -> "of " + report.failures());
    }
}
