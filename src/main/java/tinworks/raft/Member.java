package tinworks.raft;

/**
 * A voter of the log.
 *
 * @param id who it is for as long as its disk lives; a machine that comes back empty is another member
 * @param address where it takes messages, {@code ip:port}
 */
public record Member(long id, String address) {}
