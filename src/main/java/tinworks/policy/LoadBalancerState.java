package tinworks.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;

/** What a gateway remembers: plain holders without a decision, all of which are in {@link LoadBalancer}. */
interface LoadBalancerState {

    /** A server as this gateway has seen it since its last start. */
    final class Server {
        ServerInfo info;
        /** The same for servers that are held alike. */
        String similarityKey;

        boolean ready;
        double share;
        /** The part of it that is this gateway's own, from 0 to 1. */
        double subsetFraction;
        /** Latencies in this tick, as multiples of their classes' means. */
        LatencySum tickLatencies = new LatencySum();

        double latency;
        boolean sampled;
        int inFlight;
        /** What other gateways said that they have out here. */
        int peerInFlight;

        double limit;
        double lateness;
        double failureRate;
        long failureRateAt;
        long lastResponseAt;
        /** When the latest sent of its answered attempts went out. */
        long lastAnsweredSentAt;

        boolean unresponsive;
        long nextTrialAt;
        final Map<ClassState, ClassHealth> classHealth = new HashMap<>();
        final TokenBucket slowStartBucket;
        final ArrayDeque<Attempt> openAttempts = new ArrayDeque<>();

        Server(TokenBucket cold, double share, double limit) {
            this.slowStartBucket = cold;
            this.share = share;
            this.limit = limit;
        }
    }

    /** How a server has answered one class: the part of errors, and when the next trial may be. */
    final class ClassHealth {
        double errorRate;
        long errorRateAt;
        long nextTrialAt;
    }

    /** Samples of latency, and how many. */
    final class LatencySum {
        double sum;
        int samples;

        void add(double latencies, int count) {
            sum += latencies;
            samples += count;
        }

        double mean() {
            return sum / Math.max(1, samples);
        }

        double shrunkMean(double prior, double weight) {
            return (sum + weight * prior) / (samples + weight);
        }
    }

    /** One send of a request to a server. */
    record Attempt(Request request, Server server, int number, long sentAt) {
        boolean ended() {
            return (request.endedAttempts >> number & 1) == 1;
        }
    }

    /** A request that is owed an answer, or whose attempts have not all ended. */
    final class Request {
        final String id;
        final ClassState classState;
        final boolean overQuota;
        final long firstSentAt;
        /** When it has passed for certain: until then nothing is broken off at a server for it. */
        final long deadline;
        /** When it may have passed, as the request may have lain unread before: what waits here is given up then. */
        long queueDeadline;

        final List<Attempt> attempts = new ArrayList<>(2);
        /** A bit for each attempt that ended, and for each that is proved never to have run. */
        long endedAttempts;

        long notExecutedAttempts;
        /** A bit for each attempt that holds no place any more, and for each that was called off. */
        long releasedAttempts;

        long cancelledAttempts;
        int outstanding;
        boolean concluded;
        boolean streaming;
        double valueDensity;
        /** The fewest tries, and the class of the gravest effect, of the versions since it came. */
        int maxAttempts;

        RequestClass strictest;

        Request(String id, ClassState kind, boolean overShare, long firstAsked, long deadline) {
            this.id = id;
            this.classState = kind;
            this.overQuota = overShare;
            firstSentAt = firstAsked;
            this.deadline = deadline;
            maxAttempts = kind.spec.maxAttempts();
            strictest = kind.spec;
        }

        /** Whether an attempt of it went to the server. */
        boolean wasSentTo(Server server) {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i).server() == server) {
                    return true;
                }
            }
            return false;
        }

        /** The first attempt that may have run or may yet run, or null. */
        Attempt firstPossiblyExecuted() {
            int i = Long.numberOfTrailingZeros(~notExecutedAttempts);
            return i < attempts.size() ? attempts.get(i) : null;
        }
    }

    /** A class as this gateway has seen it. */
    final class ClassState {
        RequestClass spec;
        double meanLatency;
        double minMeanLatency;
        long served;
        long usualTimeoutNanos;
        int timeoutVotes;
        boolean failsOnAllServers;
        /** Its requests of about the last minute, and how many of them went to a server. */
        double recentArrivals;

        double recentSends;

        ClassState(RequestClass spec, double firstLatency) {
            this.spec = spec;
            meanLatency = firstLatency;
        }
    }

    /** A tenant's part of its share at this gateway, and what of it is left. */
    record Quota(double perSecond, TokenBucket bucket) {}

    /** What another gateway last said that it has out, and when. */
    record PeerReport(long receivedAt, Map<Server, Integer> counts) {}

    /** Tokens that come at a rate up to a most. */
    final class TokenBucket {
        double tokens;
        private long refilledAt;

        TokenBucket(double tokens, long now) {
            this.tokens = tokens;
            refilledAt = now;
        }

        double refill(long now, double perNano, double most) {
            tokens = Math.min(most, tokens + (now - refilledAt) * perNano);
            refilledAt = now;
            return tokens;
        }

        /** Takes a token if there is one. */
        boolean take(long now, double perNano, double most) {
            boolean there = refill(now, perNano, most) >= 1;
            tokens -= there ? 1 : 0;
            return there;
        }
    }
}
