package daemon

import (
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/callerbudget"
	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

// callerLogInterval is the shortest time between two log lines about callers outside the
// limits.
const callerLogInterval = time.Second

// newCallerGuard returns the guard of the connections to the caller and admin interfaces.
func (d *Daemon) newCallerGuard() *callerconn.Guard {
	log := d.newCallerLog()
	guard := callerconn.NewGuard(callerbudget.LimitsFor(d.settings.MemoryMB, d.settings.OpenFiles), func(e callerconn.Event) {
		d.counters.Inc(telemetry.CallerEventName(string(e)))
		log(e)
	})
	d.counters.RegisterGauge(telemetry.CallerMemory, func() float64 { return float64(guard.Used()) })
	d.counters.RegisterGauge(telemetry.CallerConnections, func() float64 { return float64(guard.Connections()) })
	return guard
}

// newPeerGuard returns the guard of the connections of other hosts.
func (d *Daemon) newPeerGuard() *callerconn.Guard {
	limits := callerbudget.PeerLimitsFor(d.settings.MemoryMB, d.settings.OpenFiles)
	return callerconn.NewGuard(limits, func(e callerconn.Event) { d.counters.Inc(telemetry.PeerEventName(string(e))) })
}

// newCallerLog returns a function that logs an event within callerLogInterval. It does not
// wait for the log.
func (d *Daemon) newCallerLog() func(callerconn.Event) {
	var busy atomic.Bool
	return func(e callerconn.Event) {
		if !busy.CompareAndSwap(false, true) {
			return
		}
		go func() {
			d.log.Warn().Str("decision", string(e)).Msg("caller outside the limits")
			time.AfterFunc(callerLogInterval, func() { busy.Store(false) })
		}()
	}
}
