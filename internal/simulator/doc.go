// Package simulator runs controllers in a simulated environment: a network in simulated
// time with a key-value store, a cloud provider, machines and users. It checks invariants
// that must hold whatever fails. Runs with the same seed produce the same trace.
// LiveNetwork serves the same store, cloud and machines over real sockets in real time,
// for controllers that run as separate processes.
package simulator
