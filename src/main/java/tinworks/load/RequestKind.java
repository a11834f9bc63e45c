package tinworks.load;

/**
 * A kind of request that clients send.
 *
 * @param name what reports call it
 * @param domain the {@code Host} that it asks for
 * @param prefix what its paths begin with
 * @param once whether it may run once at most, and is not simply asked again
 * @param perSecond how many are sent a second on average, above 0
 * @param aimMillis the time within which an answer earns its full worth
 * @param deadlineMillis how long its client waits in all
 * @param mostBodyBytes bodies are of 0 to so many bytes, drawn by chance; without a body where it is 0
 */
public record RequestKind(
        String name,
        String domain,
        String prefix,
        boolean once,
        double perSecond,
        long aimMillis,
        long deadlineMillis,
        int mostBodyBytes) {
    /** One whose requests have no body. */
    public RequestKind(
            String name,
            String domain,
            String prefix,
            boolean once,
            double perSecond,
            long aimMillis,
            long deadlineMillis) {
        this(name, domain, prefix, once, perSecond, aimMillis, deadlineMillis, 0);
    }
}
