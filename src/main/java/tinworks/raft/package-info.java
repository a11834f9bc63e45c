/**
 * The Raft consensus algorithm, by which the core nodes agree on a replicated log: elections with pre-vote and check
 * quorum, leader leases, read index, snapshots, learners, and membership changes by joint consensus. It is a pure state
 * machine: messages and time go in, messages and writes come out. It uses no sockets, clocks, threads or files;
 * {@link tinworks.control} drives it and {@link tinworks.store} persists its state.
 */
package tinworks.raft;
