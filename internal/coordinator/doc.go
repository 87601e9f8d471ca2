// Package coordinator implements the state machine that handles callers'
// requests on one host, from arrival to answer.
//
// The machine combines admission control, a query state machine for each
// running query, the permit ledger for requests that must not be repeated, and
// the endpoint table, which holds what this host has observed of the
// endpoints. It reads the configuration, the known hosts and the quarantine
// from the last published view and never waits for the control machine.
//
// Every attempt that the machine dispatches is outstanding until exactly one
// reply ends it. The driver reports attempts that could not be written to a
// peer, and peer connections that broke. The machine converts these reports
// into replies: refused if nothing was written, unknown otherwise.
//
// The package does no I/O, reads no clock and starts no goroutine. The driver is
// the code that passes events and the time to a Machine, and carries out the
// Actions that each step returns. A Machine is not safe for concurrent use; its
// driver must serialize all calls.
package coordinator
