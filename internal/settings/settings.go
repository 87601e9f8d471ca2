// Package settings reads the settings of one process from a file in JSON with
// comments.
//
// Settings describe where a process runs: its addresses, its data centre and the
// addresses of the platform. What its services do is configuration, which is
// generated from the questionnaire and published on the platform.
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

// Limits of the values.
const (
	maxBalancerLagMS   = 60_000
	maxStopTimeoutMS   = 600_000
	maxStartWaitMS     = 60_000
	maxDataCentreBytes = 64
	maxAddresses       = 64
	maxMemoryMB        = 1 << 20
	maxOpenFiles       = 1 << 24
)

// Settings are the settings of one process.
type Settings struct {
	// PeerAddress is the IP and port of the peer protocol (TCP). Peers identify the
	// host by it, so it must be the address of one interface. With port 0 the system
	// chooses a port.
	PeerAddress string `json:"peer_address"`
	// CallerAddress is the IP and port of the caller API (HTTP).
	CallerAddress string `json:"caller_address"`
	// AdminAddress is the IP and port of the admin API, metrics and health (HTTP).
	AdminAddress string `json:"admin_address"`
	// DataCentre is the data centre that the host runs in.
	DataCentre string `json:"data_centre"`
	// Platform holds the base addresses of the platform's store, http://IP:port.
	Platform []string `json:"platform"`
	// Peers holds peer addresses of other hosts, from which the host learns of the
	// rest. Some of them may be out of date.
	Peers []string `json:"peers"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// BalancerLagMS is how long a stopping host keeps serving, so that the load
	// balancer can notice that it is leaving, in milliseconds.
	BalancerLagMS int `json:"balancer_lag_ms"`
	// StopTimeoutMS bounds a planned stop from the signal to the exit, in
	// milliseconds.
	StopTimeoutMS int `json:"stop_timeout_ms"`
	// StartWaitMS bounds how long a new host waits for its peers and the platform
	// before it uses the highest revision that it has received, in milliseconds.
	StartWaitMS int `json:"start_wait_ms"`
	// MemoryMB is the memory that the process may occupy, and OpenFiles the number of
	// descriptors that it may have open. What callers and peers may take is derived from
	// them. Zero means the defaults of package callerbudget, and no memory limit for the
	// Go runtime.
	MemoryMB  int `json:"memory_mb"`
	OpenFiles int `json:"open_files"`
}

// Load reads and parses the file at path. If the file can't be read, the error is a
// *result.Error with code 631 (result.Unreachable). Faults in the file are returned
// as strictjson.Faults with codes 600 to 602.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.FieldErrorf(result.Unreachable, path, "%v", err)
	}
	return Parse(path, data)
}

// Parse parses data. name is the file name for error messages. The error is a
// strictjson.Faults with every fault of the file.
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
		checkSettings(doc, s)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}
