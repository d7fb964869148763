// Package simulator runs controllers against simulated surroundings: a network in
// simulated time with a state service, a cloud, machines and users on it, and the
// invariants that none of them may see violated. A run with the same seed gives the
// same trace. The same state service, cloud and machines also serve real sockets by
// the real clock, for controllers that are processes of their own (LiveNetwork).
package simulator
