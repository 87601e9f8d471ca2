// Package daemon runs one host. It passes events and the time to three state
// machines (coordinator, relay and control), and carries out their actions
// through the network clients and servers.
//
// # Concurrency
//
// The coordinator and relay machines are each owned by a loop that serializes
// events with a mutex. A loop carries out actions after it has released the
// mutex, so that loops can call each other in any order without deadlock. The
// exception is the relay machine's actions for endpoints, which are carried out
// under the mutex. Actions of one step are carried out in order. Actions of
// different steps may interleave, which every machine tolerates: replies are
// matched by key, and cancellations of unknown attempts are ignored.
//
// The control machine is owned by one goroutine, which receives events over a
// bounded channel. Request handling reads the configuration and the known hosts
// from the last view that control published, and reports observations to
// control. Observations are hints: one that finds the channel full is dropped and
// counted.
package daemon
