// Package settings reads the settings of one process from a file of JSON with
// comments.
//
// Settings say where a process runs: its addresses, its data centre and the
// platform. What its services do is configuration, which the platform
// publishes and the questionnaire generates.
package settings

import (
	"os"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/strictjson"
)

// Defaults of optional settings.
const (
	DefaultLogLevel      = "info"
	DefaultBalancerLagMS = 5000
	DefaultStopTimeoutMS = 60000
	DefaultStartWaitMS   = 5000
)

// Bounds of settings.
const (
	maxBalancerLagMS  = 60_000
	maxStopTimeoutMS  = 600_000
	maxStartWaitMS    = 60_000
	maxDataCentreSize = 64
	maxAddresses      = 64
)

// Settings are the settings of one process.
type Settings struct {
	// PeerAddress is the IP and port of the peer protocol (TCP). Peers know the
	// host by it, so it names one interface. Port 0 lets the system choose.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the IP and port of the caller API (HTTP).
	CallerAddress string `json:"caller_address"`
	// AdminAddress is the IP and port of the admin API, metrics and health (HTTP).
	AdminAddress string `json:"admin_address"`
	// DataCentre is the data centre that the host runs in.
	DataCentre string `json:"data_centre"`
	// Platform holds the base addresses of the platform's store, http://IP:port.
	Platform []string `json:"platform"`
	// Peers are peer addresses through which the host finds the others; some may be
	// stale.
	Peers []string `json:"peers"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// BalancerLagMS is how long a stopping host goes on serving until the
	// balancer has noticed, in milliseconds.
	BalancerLagMS int `json:"balancer_lag_ms"`
	// StopTimeoutMS bounds a planned stop from the signal to the exit, in
	// milliseconds.
	StopTimeoutMS int `json:"stop_timeout_ms"`
	// StartWaitMS bounds the wait of a new host for peers and platform before
	// it takes the highest revision that it has heard of, in milliseconds.
	StartWaitMS int `json:"start_wait_ms"`
}

// Load reads and parses the file at path. A file that can't be read is a
// *result.Error with code 631; faults in it are strictjson.Faults with codes
// 600 to 602.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.FieldErrorf(result.Unreachable, path, "%v", err)
	}
	return Parse(path, data)
}

// Parse parses data; name is the file that faults are reported in. The error
// is strictjson.Faults with every fault of the file.
func Parse(name string, data []byte) (*Settings, error) {
	s := &Settings{
		LogLevel:      DefaultLogLevel,
		BalancerLagMS: DefaultBalancerLagMS,
		StopTimeoutMS: DefaultStopTimeoutMS,
		StartWaitMS:   DefaultStartWaitMS,
	}
	codes := strictjson.Codes{Syntax: result.SettingsSyntax, Field: result.SettingsField}
	doc := strictjson.Decode(name, data, s, codes)
	if doc.Usable() {
		check(doc, s)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
