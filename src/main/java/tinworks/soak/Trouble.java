package tinworks.soak;

import java.util.Locale;

/**
 * Something that goes wrong for a while.
 *
 * @param atMillis counted from the start of traffic
 * @param forMillis how long it lasts; what happens in a moment has 0
 * @param target which of those that it may strike; taken modulo their number
 */
public record Trouble(Kind kind, long atMillis, long forMillis, int target) {
    /** Whom a trouble strikes. */
    enum Side {
        CORE,
        EDGE,
        HOST,
        CLIENT,
        OPERATOR,
        PLATFORM
    }

    /** What can go wrong. */
    public enum Kind {
        /** A core machine's process is killed. */
        KILL_CORE(Side.CORE),
        /** The leading core machine's process is killed. */
        KILL_LEADER(Side.CORE),
        /** A core machine's process stands still. */
        PAUSE_CORE(Side.CORE),
        /** The leading core machine's process stands still. */
        PAUSE_LEADER(Side.CORE),
        /** A core machine is asked to end, and started again. */
        STOP_CORE(Side.CORE),
        /** A core machine is killed and comes back without its disk. */
        LOSE_DISK(Side.CORE),
        /** A core machine is cut off from all others and from edges, without a word on any connection. */
        CUT_CORE(Side.CORE),
        /** The leading core machine is cut off from the other core machines, while edges and operators reach it. */
        CUT_LEADER(Side.CORE),
        /** What a core machine says reaches nobody, and it hears everybody. */
        MUTE_CORE(Side.CORE),
        /** The connections of a core machine are reset again and again. */
        RESET_CORE(Side.CORE),
        /** What goes to a core machine takes long. */
        DELAY_CORE(Side.CORE),
        /** All core machines are killed at once. */
        KILL_ALL_CORES(Side.CORE),
        /** Every process is killed at once. */
        KILL_ALL(Side.CORE),
        /** A core machine is killed again and again, each time soon after it was started. */
        KILL_CORE_SERIES(Side.CORE),
        /** A core machine gets SIGHUP and SIGTERM in a series, as it runs, ends and starts. */
        SIGNAL_CORE(Side.CORE),
        /** All core machines get SIGTERM, each before the one before is back. */
        ROLL_CORES(Side.CORE),
        /** An edge's process is killed. */
        KILL_EDGE(Side.EDGE),
        /** An edge is killed again and again, each time soon after it was started. */
        KILL_EDGE_SERIES(Side.EDGE),
        /** An edge gets SIGHUP and SIGTERM in a series, as it runs, ends and starts. */
        SIGNAL_EDGE(Side.EDGE),
        /** All edges get SIGTERM, each before the one before is back. */
        ROLL_EDGES(Side.EDGE),
        /** An edge's process stands still. */
        PAUSE_EDGE(Side.EDGE),
        /** An edge is asked to end, and started again. */
        STOP_EDGE(Side.EDGE),
        /** An edge is cut off from the core. */
        CUT_EDGE(Side.EDGE),
        /** The settings of an edge change, and it gets SIGHUP. */
        RELOAD_EDGE(Side.EDGE),
        /** A host works six times as long. */
        SLOW_HOST(Side.HOST),
        /** A host takes requests and says nothing. */
        MUTE_HOST(Side.HOST),
        /** A host is gone without a word, and comes back as another one. */
        CRASH_HOST(Side.HOST),
        /** A host drains and ends, and a new one comes. */
        REPLACE_HOST(Side.HOST),
        /** A host crashes, and its address goes to a host of another service. */
        REUSE_ADDRESS(Side.HOST),
        /** A host runs requests and their answers are lost. */
        LOSE_ANSWERS(Side.HOST),
        /** A host sends wrong bytes, cut answers, answers to others, and too much. */
        GARBLE(Side.HOST),
        /** A host fails half of its requests. */
        FAIL(Side.HOST),
        /** A host turns half of its requests away. */
        TURN_AWAY(Side.HOST),
        /** A host closes connections that rest. */
        FORGET_IDLE(Side.HOST),
        /** The platform answers its calls with 429, with nothing, or not at all. */
        PLATFORM_DOWN(Side.PLATFORM),
        /** Clients leave in the middle of their requests. */
        LEAVERS(Side.CLIENT),
        /** Clients send a byte at a time. */
        SLOW_SENDERS(Side.CLIENT),
        /** Clients ask for long answers and don't read them. */
        SLOW_READERS(Side.CLIENT),
        /** Clients send long bodies at the same time. */
        LONG_BODIES(Side.CLIENT),
        /** Clients send heads of thousands of headers, and don't end them. */
        LONG_HEADS(Side.CLIENT),
        /** Clients send what is no request, or two in one. */
        BAD_REQUESTS(Side.CLIENT),
        /** Clients send many requests ahead and leave. */
        PIPELINERS(Side.CLIENT),
        /** Many clients connect and say nothing. */
        CROWD(Side.CLIENT),
        /** Three times as many requests come. */
        BURST(Side.CLIENT),
        /** Two operators build on the same version. */
        RACE(Side.OPERATOR),
        /** Operators don't hear their answers, and send again elsewhere. */
        LOSE_ACKS(Side.OPERATOR),
        /** Operators send one order on the other without a pause. */
        ORDER_SERIES(Side.OPERATOR),
        /** Operators send what is invalid. */
        BAD_ORDERS(Side.OPERATOR),
        /** Operators send thousands of routes. */
        LARGE_ORDERS(Side.OPERATOR),
        /**
         * Operators send about as many routes as may be taken, and by turns nearly as many as fit into the longest
         * body.
         */
        HUGE_ORDERS(Side.OPERATOR);

        private final Side side;

        Kind(Side side) {
            this.side = side;
        }

        Side side() {
            return side;
        }

        /** As it is written in a script. */
        public String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** As a line of a script: kind, when, how long, at whom. */
    @Override
    public String toString() {
        return kind.word() + " at " + atMillis + " for " + forMillis + " target " + target;
    }

    /** Reads a line of a script. */
    public static Trouble of(String line) {
        String[] words = line.trim().split("\\s+");
        try {
            if (words.length == 7 && words[1].equals("at") && words[3].equals("for") && words[5].equals("target")) {
                return new Trouble(
                        Kind.valueOf(words[0].toUpperCase(Locale.ROOT).replace('-', '_')),
                        Long.parseLong(words[2]),
                        Long.parseLong(words[4]),
                        Integer.parseInt(words[6]));
            }
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("not a trouble: '" + line + "'", e);
        }
        throw new IllegalArgumentException("not a trouble: '" + line + "', wanted KIND at MS for MS target N");
    }
}
