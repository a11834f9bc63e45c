package tinworks.raft;

/**
 * A voter or learner of the cluster.
 *
 * @param id identity bound to the member's disk; a node that returns with an empty disk is a new member
 * @param address where the member accepts messages, as {@code ip:port}
 */
public record Member(long id, String address) {}
