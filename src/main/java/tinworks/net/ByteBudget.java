package tinworks.net;

import java.util.ArrayDeque;
import java.util.Iterator;
import tinworks.invariant.Invariant;

/**
 * A shared budget of bytes from which memory is reserved, with a first-in-first-out queue of waiters. Not thread-safe.
 */
public final class ByteBudget {
    private record Waiter(long bytes, Runnable whenReserved) {}

    private final long capacity;
    private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
    private long reserved;

    /** Creates a budget with nothing reserved. */
    public ByteBudget(long capacity) {
        this.capacity = capacity;
    }

    /** Reserves the bytes, or returns false if not that many are left. */
    public boolean tryReserve(long bytes) {
        boolean fits = bytes <= capacity - reserved;
        reserved += fits ? bytes : 0;
        return fits;
    }

    /** Returns reserved bytes, and grants waiting reservations in their order. */
    public void release(long bytes) {
        reserved -= bytes;
        Invariant.WITHIN_BUDGET.check(
                reserved >= 0, () -> bytes + " bytes released leave a reservation of " + reserved);
        while (!waiters.isEmpty() && tryReserve(waiters.peek().bytes)) {
            waiters.poll().whenReserved.run();
        }
    }

    /** Queues a reservation; the callback runs once it is granted. More bytes than the capacity are never granted. */
    void reserveWhenAvailable(long bytes, Runnable whenReserved) {
        waiters.add(new Waiter(bytes, whenReserved));
    }

    /** Removes the queued reservation with this callback. */
    void cancelWait(Runnable whenReserved) {
        for (Iterator<Waiter> iterator = waiters.iterator(); iterator.hasNext(); ) {
            if (iterator.next().whenReserved == whenReserved) {
                iterator.remove();
                return;
            }
        }
    }

    /** Whether reservations are queued. */
    public boolean hasWaiters() {
        return !waiters.isEmpty();
    }

    /** Bytes that are reserved at present. */
    public long reservedBytes() {
        return reserved;
    }
}
