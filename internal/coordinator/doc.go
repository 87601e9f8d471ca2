// Package coordinator implements the machine that owns callers' requests from
// arrival to answer on one host.
//
// It composes admission, one query machine for each running query, the permit
// ledger for requests that are not repeatable, and this host's beliefs about
// endpoints. It reads configuration, roster and quarantine from the last
// published view and never waits for control.
//
// Every attempt that the machine dispatches is outstanding until exactly one
// reply ends it. The driver reports attempts that could not be handed to a
// peer, and peers that were lost; the machine turns these into replies: refused
// if nothing was written, unknown otherwise.
//
// The machine does no I/O, reads no clock and starts no goroutine. It is not
// safe for concurrent use; the driver serializes its events.
package coordinator
