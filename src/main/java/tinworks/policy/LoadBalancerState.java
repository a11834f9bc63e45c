package tinworks.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tinworks.policy.LoadBalancerApi.RequestClass;
import tinworks.policy.LoadBalancerApi.ServerInfo;

/** Data that a {@link LoadBalancer} keeps. It holds no decisions. */
interface LoadBalancerState {

    /** A server as seen by this gateway since the server's last start. */
    final class Server {
        ServerInfo info;
        /** Zone and machine type: servers with equal keys are expected to perform alike. */
        String similarityKey;

        boolean ready;
        double share;
        /** Fraction of the server that belongs to this gateway's subset, from 0 to 1. */
        double subsetFraction;
        /** Latencies in this tick, as multiples of the mean latencies of their classes. */
        LatencySum tickLatencies = new LatencySum();

        double latency;
        boolean sampled;
        int inFlight;
        /** Requests that other gateways reported in flight here. */
        int peerInFlight;

        /** Concurrency limit of this gateway for the server. */
        double limit;
        /** Moving average of latency / latency budget. */
        double lateness;

        double failureRate;
        long failureRateAt;
        long lastResponseAt;
        /** Latest send time of all attempts that were answered. */
        long lastAnsweredSentAt;

        boolean unresponsive;
        long nextTrialAt;
        final Map<ClassState, ClassHealth> classHealth = new HashMap<>();
        final TokenBucket slowStartBucket;
        final ArrayDeque<Attempt> openAttempts = new ArrayDeque<>();

        Server(TokenBucket slowStartBucket, double share, double limit) {
            this.slowStartBucket = slowStartBucket;
            this.share = share;
            this.limit = limit;
        }
    }

    /** How a server has answered one class: its error rate, and when the next trial request may be sent. */
    final class ClassHealth {
        double errorRate;
        long errorRateAt;
        long nextTrialAt;
    }

    /** Sum and number of latency samples. */
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

    /** A request that needs an answer, or some of whose attempts have not ended. */
    final class Request {
        final String id;
        final ClassState classState;
        final boolean overQuota;
        final long firstSentAt;
        /** Latest time at which the request expires: until then no attempt is cancelled for it. */
        final long deadline;
        /**
         * Earliest time at which the request expires, as it may have waited unread: a queued request is given up then.
         */
        long queueDeadline;

        final List<Attempt> attempts = new ArrayList<>(2);
        /** One bit per attempt: whether it ended, and whether it is proved that it was not executed. */
        long endedAttempts;

        long notExecutedAttempts;
        /** One bit per attempt: whether it no longer counts as in flight, and whether it was cancelled. */
        long releasedAttempts;

        long cancelledAttempts;
        int outstanding;
        boolean concluded;
        boolean streaming;
        double valueDensity;
        /** Fewest attempts, and class of the strictest idempotency, of all versions since the request arrived. */
        int maxAttempts;

        RequestClass strictest;

        Request(String id, ClassState classState, boolean overQuota, long firstSentAt, long deadline) {
            this.id = id;
            this.classState = classState;
            this.overQuota = overQuota;
            this.firstSentAt = firstSentAt;
            this.deadline = deadline;
            maxAttempts = classState.spec.maxAttempts();
            strictest = classState.spec;
        }

        /** Whether an attempt was sent to the server. */
        boolean wasSentTo(Server server) {
            for (int i = 0; i < attempts.size(); i++) {
                if (attempts.get(i).server() == server) {
                    return true;
                }
            }
            return false;
        }

        /** First attempt that may have been executed or may still be, or null. */
        Attempt firstPossiblyExecuted() {
            int i = Long.numberOfTrailingZeros(~notExecutedAttempts);
            return i < attempts.size() ? attempts.get(i) : null;
        }
    }

    /** A class as seen by this gateway. */
    final class ClassState {
        RequestClass spec;
        double meanLatency;
        double minMeanLatency;
        long served;
        long usualTimeoutNanos;
        int timeoutVotes;
        boolean failsOnAllServers;
        /** Requests of about the last minute, and how many of them were sent to a server. */
        double recentArrivals;

        double recentSends;

        ClassState(RequestClass spec, double initialLatency) {
            this.spec = spec;
            meanLatency = initialLatency;
        }
    }

    /** Part of a tenant's quota at this gateway, and the tokens left of it. */
    record Quota(double perSecond, TokenBucket bucket) {}

    /** Last report of another gateway: the requests it has in flight at each server. */
    record PeerReport(long receivedAt, Map<Server, Integer> counts) {}

    /** Token bucket, refilled at a given rate up to a given capacity. */
    final class TokenBucket {
        double tokens;
        private long refilledAt;

        TokenBucket(double tokens, long now) {
            this.tokens = tokens;
            refilledAt = now;
        }

        double refill(long now, double perNano, double capacity) {
            tokens = Math.min(capacity, tokens + (now - refilledAt) * perNano);
            refilledAt = now;
            return tokens;
        }

        /** Takes a token if one is available. */
        boolean take(long now, double perNano, double capacity) {
            boolean available = refill(now, perNano, capacity) >= 1;
            tokens -= available ? 1 : 0;
            return available;
        }
    }
}
