package tinworks.net;

import java.util.ArrayDeque;
import java.util.Iterator;
import tinworks.invariant.Invariant;

/** So many bytes that several may hold at a time. Who finds no room may wait for it. On one thread. */
public final class ByteBudget {
    /** Somebody who waits for room. */
    private record Waiter(long bytes, Runnable taken) {}

    private final long most;
    private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
    private long taken;

    /** Nothing is taken yet. */
    public ByteBudget(long most) {
        this.most = most;
    }

    /** Takes bytes, or none and tells false where there aren't so many left. */
    public boolean tryReserve(long bytes) {
        boolean fits = bytes <= most - taken;
        taken += fits ? bytes : 0;
        return fits;
    }

    /** Gives back what was taken, and has those who wait take it in their turn. */
    public void release(long bytes) {
        taken -= bytes;
        Invariant.WITHIN_BUDGET.check(taken >= 0, () -> bytes + " bytes given back leave " + taken);
        while (!waiters.isEmpty() && tryReserve(waiters.peek().bytes)) {
            waiters.poll().taken.run();
        }
    }

    /** Takes bytes once there is room for them, and then tells so; more than there can be are never taken. */
    void await(long bytes, Runnable whenTaken) {
        waiters.add(new Waiter(bytes, whenTaken));
    }

    /** Somebody doesn't wait any more. */
    void giveUp(Runnable whenTaken) {
        for (Iterator<Waiter> all = waiters.iterator(); all.hasNext(); ) {
            if (all.next().taken == whenTaken) {
                all.remove();
                return;
            }
        }
    }

    /** Whether somebody waits for room. */
    public boolean hasWaiters() {
        return !waiters.isEmpty();
    }

    /** How many are taken. */
    public long reservedBytes() {
        return taken;
    }
}
