package capacity

import "fmt"

// Basis is how a value was determined.
type Basis string

// The possible bases.
const (
	// Computed values follow from the sizes alone.
	Computed Basis = "arithmetic"
	// Measured values come from a benchmark at the design size.
	Measured Basis = "measured"
	// Extrapolated values are a measured slope multiplied by a size.
	Extrapolated Basis = "extrapolated"
	// Unmeasured values need a slope that is not in the input.
	Unmeasured Basis = "not measured"
)

// Row is one row of the capacity table.
type Row struct {
	Role     string  `json:"role"`
	Quantity string  `json:"quantity"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	Basis    Basis   `json:"basis"`
	// Calculation describes how the value was calculated.
	Calculation string `json:"working"`
	// Mechanism is what performs the work or enforces the limit.
	Mechanism string `json:"mechanism"`
}

// The roles in the table.
const (
	roleCoordinator = "coordinator"
	roleRelay       = "relay"
	roleControl     = "control"
	roleWatcher     = "control, watcher"
	rolePlatform    = "platform"
	roleEvent       = "event"
)

// tableBuilder collects the rows of a table.
type tableBuilder struct {
	sizes  Sizes
	slopes Slopes
	rows   []Row
}

// Table returns the resource needs of all roles at the given sizes.
func Table(sizes Sizes, slopes Slopes) []Row {
	b := &tableBuilder{sizes: sizes, slopes: slopes}
	b.addCoordinatorRows()
	b.addRelayRows()
	b.addControlRows()
	b.addPlatformRows()
	b.addEventRows()
	return b.rows
}

// addComputed adds a row whose value does not need a slope. calculation is a
// format for args.
func (b *tableBuilder) addComputed(role, quantity string, value float64, unit, mechanism, calculation string, args ...any) {
	b.rows = append(b.rows, Row{
		Role: role, Quantity: quantity, Value: value, Unit: unit, Basis: Computed,
		Calculation: fmt.Sprintf(calculation, args...), Mechanism: mechanism,
	})
}

// addScaled adds a row whose value is a slope multiplied by factor.
func (b *tableBuilder) addScaled(role, quantity string, slope slopeRef, factor float64, unit, mechanism, calculation string) {
	row := Row{Role: role, Quantity: quantity, Unit: unit, Calculation: calculation, Mechanism: mechanism}
	value, ok := b.slopes.find(slope.benchmark, slope.unit)
	switch {
	case !ok:
		row.Basis = Unmeasured
	case slope.atDesignSize:
		row.Basis, row.Value = Measured, value*factor
	default:
		row.Basis, row.Value = Extrapolated, value*factor
	}
	if ok {
		row.Calculation = fmt.Sprintf("%s; %s %.4g %s", calculation, slope.benchmark, value, slope.unit)
	}
	b.rows = append(b.rows, row)
}

// slopeRef identifies a result of a benchmark.
type slopeRef struct {
	benchmark, unit string
	// atDesignSize is set if the benchmark runs at the design size.
	atDesignSize bool
}

// The slopes that the table uses.
var (
	slopeDirect        = slopeRef{benchmark: "SlopeHost/direct", unit: "cpu-us/subrequest"}
	slopeRelayed       = slopeRef{benchmark: "SlopeHost/relayed", unit: "cpu-us/subrequest"}
	slopeDispatch      = slopeRef{benchmark: "SlopeFrames", unit: "B/dispatch"}
	slopeReply         = slopeRef{benchmark: "SlopeFrames", unit: "B/reply"}
	slopeSubRequest    = slopeRef{benchmark: "SlopeMemory/subrequest", unit: "B/entry"}
	slopeConnection    = slopeRef{benchmark: "SlopeMemory/connection", unit: "B/entry"}
	slopePermit        = slopeRef{benchmark: "SlopeMemory/permit", unit: "B/entry"}
	slopeSuspect       = slopeRef{benchmark: "SlopeMemory/suspect", unit: "B/entry"}
	slopeEndpointState = slopeRef{benchmark: "SlopeMemory/belief", unit: "B/entry"}
	slopeIdleHost      = slopeRef{benchmark: "SlopeIdle", unit: "MiB/host"}

	slopeControlCPU       = fleetSlope("%core/host")
	slopeHeartbeatTraffic = fleetSlope("heartbeat-kB/host/s")
	slopeFetchTraffic     = fleetSlope("fetch-kB/host/s")
	slopeControlMemory    = fleetSlope("MiB/host")
	slopeHeartbeats       = fleetSlope("heartbeats/host/s")
	slopePlatformCalls    = fleetSlope("platform-calls/s")
	slopeStartPeakCalls   = fleetSlope("start-peak-calls/s")
	slopeStartCalls       = fleetSlope("start-calls")
	slopeStartTime        = fleetSlope("start-s")
	slopePropagationTime  = fleetSlope("spread-max-s")
)

// fleetSlope returns a result of the simulated fleet of 570 hosts.
func fleetSlope(unit string) slopeRef {
	return slopeRef{benchmark: "Fleet/hosts=570", unit: unit, atDesignSize: true}
}
