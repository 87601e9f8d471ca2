// Package daemon runs one host: it feeds the three machines (coordinator, relay
// and control) with events and time, and carries out their actions through the
// adapters.
//
// # Concurrency
//
// Each machine is owned by a loop that serializes its events with a mutex. A
// loop carries out actions after it has released the mutex, so that loops call
// each other without lock order. Actions of one step are carried out in order;
// actions of different steps may interleave, and every machine tolerates that:
// replies are matched by key, and cancellations of unknown attempts are ignored.
//
// Traffic reads configuration and roster from the last view that control
// published, and reports observations to control over a bounded channel. An
// observation that does not fit is dropped and counted; it is a hint.
package daemon
