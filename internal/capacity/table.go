package capacity

import "fmt"

// Basis tells how a figure came about.
type Basis string

// The bases of figures.
const (
	// Given figures are the users' sizes, or follow from them alone.
	Given Basis = "arithmetic"
	// Measured figures were measured at the design size.
	Measured Basis = "measured"
	// Extrapolated figures are a measured slope times a size.
	Extrapolated Basis = "extrapolated"
	// Unmeasured figures lack their slope in the input.
	Unmeasured Basis = "not measured"
)

// Row is one line of the capacity table.
type Row struct {
	Role     string  `json:"role"`
	Quantity string  `json:"quantity"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	Basis    Basis   `json:"basis"`
	// Calculation says how the value was worked out.
	Calculation string `json:"working"`
	Mechanism   string `json:"mechanism"`
}

// The roles of the table.
const (
	roleCoordinator = "coordinator"
	roleRelay       = "relay"
	roleControl     = "control"
	roleWatcher     = "control, watcher"
	rolePlatform    = "platform"
	roleEvent       = "event"
)

// builder collects rows.
type builder struct {
	sizes  Sizes
	slopes Slopes
	rows   []Row
}

// Table returns the needs of every role at the given sizes.
func Table(sizes Sizes, slopes Slopes) []Row {
	b := &builder{sizes: sizes, slopes: slopes}
	b.coordinator()
	b.relay()
	b.control()
	b.platform()
	b.events()
	return b.rows
}

// given adds a row that needs no slope.
func (b *builder) given(role, quantity string, value float64, unit, mechanism, working string, args ...any) {
	b.rows = append(b.rows, Row{
		Role: role, Quantity: quantity, Value: value, Unit: unit, Basis: Given,
		Calculation: fmt.Sprintf(working, args...), Mechanism: mechanism,
	})
}

// scaled adds a row that is a slope times a factor.
func (b *builder) scaled(role, quantity string, slope slopeRef, factor float64, unit, mechanism, working string) {
	row := Row{Role: role, Quantity: quantity, Unit: unit, Calculation: working, Mechanism: mechanism}
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
		row.Calculation = fmt.Sprintf("%s; %s %.4g %s", working, slope.benchmark, value, slope.unit)
	}
	b.rows = append(b.rows, row)
}

// slopeRef names a figure of a benchmark.
type slopeRef struct {
	benchmark, unit string
	// atDesignSize tells that the benchmark ran at the design size.
	atDesignSize bool
}

// The figures that the table uses.
var (
	slopeDirect      = slopeRef{benchmark: "SlopeHost/direct", unit: "cpu-us/subrequest"}
	slopeRelayed     = slopeRef{benchmark: "SlopeHost/relayed", unit: "cpu-us/subrequest"}
	slopeDispatch    = slopeRef{benchmark: "SlopeFrames", unit: "B/dispatch"}
	slopeReply       = slopeRef{benchmark: "SlopeFrames", unit: "B/reply"}
	slopeOutstanding = slopeRef{benchmark: "SlopeMemory/subrequest", unit: "B/entry"}
	slopeConnection  = slopeRef{benchmark: "SlopeMemory/connection", unit: "B/entry"}
	slopePermit      = slopeRef{benchmark: "SlopeMemory/permit", unit: "B/entry"}
	slopeSuspect     = slopeRef{benchmark: "SlopeMemory/suspect", unit: "B/entry"}
	slopeBelief      = slopeRef{benchmark: "SlopeMemory/belief", unit: "B/entry"}
	slopeIdle        = slopeRef{benchmark: "SlopeIdle", unit: "MiB/host"}

	slopeControlCore   = fleet("%core/host")
	slopeControlBytes  = fleet("heartbeat-kB/host/s")
	slopeControlFetch  = fleet("fetch-kB/host/s")
	slopeControlMemory = fleet("MiB/host")
	slopeHeartbeats    = fleet("heartbeats/host/s")
	slopePlatformCalls = fleet("platform-calls/s")
	slopeStartPeak     = fleet("start-peak-calls/s")
	slopeStartCalls    = fleet("start-calls")
	slopeStartTime     = fleet("start-s")
	slopeSpread        = fleet("spread-max-s")
)

func fleet(unit string) slopeRef {
	return slopeRef{benchmark: "Fleet/hosts=570", unit: unit, atDesignSize: true}
}
