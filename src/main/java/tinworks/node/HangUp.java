package tinworks.node;

/**
 * SIGHUP of this process. Guards against the runtime's own answer to it, which is to end: what the signal does is known
 * only once there is something that follows changed settings, which on a part of a core is seconds after the start.
 */
final class HangUp {
    private static volatile Runnable action = () -> {};

    private HangUp() {}

    /** From now on the signal ends nothing; to be called before all else. */
    static void install() {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run());
    }

    /** What the signal does from now on, on a thread of its own. */
    static void then(Runnable changed) {
        action = changed;
    }
}
