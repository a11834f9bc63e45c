/**
 * Agreement on a replicated log among the core machines: terms, quorums, pre-vote, snapshots and changes of membership
 * by joint consensus. A pure state machine: messages and time go in, messages and writes come out. It holds no sockets,
 * clock, threads or files; {@link tinworks.control} drives it and {@link tinworks.store} keeps it.
 */
package tinworks.raft;
