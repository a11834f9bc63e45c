package tinworks.net;

/**
 * How often a request may run, by the route that it came on. Kept beside the decision module, so that what the module
 * decides is checked against something else than its own books.
 *
 * @param atMostOnce whether it must not run twice
 * @param maxAttempts the most hosts that it may go to, 1 or more
 */
public record AttemptLimit(boolean atMostOnce, int maxAttempts) {
    /** For requests of which nothing is known. */
    static final AttemptLimit NONE = new AttemptLimit(false, Integer.MAX_VALUE);
}
