package entryhost

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// Settings holds the settings of a host, which are written as JSON with comments.
// Unknown fields are ignored, since the platform adds some.
type Settings struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// CallerAddress, ReadinessAddress and PeerAddress are the addresses (IP and port)
	// on which the host listens.
	CallerAddress    string `json:"caller_address"`
	ReadinessAddress string `json:"readiness_address"`
	PeerAddress      string `json:"peer_address"`
	// InternalPorts contains the first and the last port that hosts may use among
	// themselves. Metrics are served on the last one.
	InternalPorts []int `json:"internal_ports"`
	// Seeds contains the peer addresses of some hosts. They may be out of date.
	Seeds []string `json:"seeds"`
	// StoreAddress is the address (IP and port) of the platform's store.
	StoreAddress string `json:"store_address"`
	// MemoryMB is the memory limit of the host; the process must stay below it.
	MemoryMB int `json:"memory_mb"`
	// OpenFiles is the number of descriptors that the process may have open. Zero means that
	// of the smallest machine.
	OpenFiles int `json:"open_files"`
	// ReplicaRequestMB is the memory of a replica for the bodies of requests of all hosts that
	// it holds at a time. Zero means defaultReplicaRequestMB.
	ReplicaRequestMB int `json:"replica_request_mb"`
	// Processor is the number of CPUs that the host has; it may be a fraction.
	Processor float64 `json:"processor"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `json:"grace_s"`
	// CallerLatencyMS is the one-way network latency between callers and the host.
	CallerLatencyMS float64 `json:"caller_latency_ms"`
	// ExtraRatio and ExtraSlack limit the extra attempts (hedges and retries) of all
	// hosts for one service in any window: a number per request, and a number in
	// addition.
	ExtraRatio float64 `json:"extra_attempts_ratio"`
	ExtraSlack float64 `json:"extra_attempts_slack"`
	// ExtraWindowSeconds is the length of that window.
	ExtraWindowSeconds float64 `json:"extra_attempts_window_s"`
	// ColdOverage and ColdSlack bound the requests that a cold replica may get in any one
	// second from all hosts: a multiple of the rate that its service states, and a number
	// in addition. If ColdOverage is nil, there is no such bound.
	ColdOverage *float64 `json:"cold_overage"`
	ColdSlack   *float64 `json:"cold_slack"`
	// EvacuationMS is the time in milliseconds within which hosts must send nothing more to
	// a data centre that is evacuated; nil if there is no such bound. A host that learns
	// of an evacuation from a state that is older says so in its log.
	EvacuationMS *float64 `json:"evacuation_ms"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Errorf(result.SettingsSyntax, "%v", err)
	}
	return ParseSettings(data)
}

// ParseSettings parses and checks settings.
func ParseSettings(data []byte) (*Settings, error) {
	standardJSON, err := hujson.Standardize(data)
	if err != nil {
		return nil, result.Errorf(result.SettingsSyntax, "%v", err)
	}
	var s Settings
	if err := json.Unmarshal(standardJSON, &s); err != nil {
		return nil, result.Errorf(result.SettingsSyntax, "%v", err)
	}
	if err := s.check(); err != nil {
		return nil, result.Errorf(result.SettingsValue, "%v", err)
	}
	return &s, nil
}

func (s *Settings) check() error {
	for _, f := range []struct{ name, value string }{
		{"caller_address", s.CallerAddress},
		{"readiness_address", s.ReadinessAddress},
		{"peer_address", s.PeerAddress},
		{"store_address", s.StoreAddress},
	} {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return fmt.Errorf("%s: got %q, want an IP and a port", f.name, f.value)
		}
	}
	if s.DataCentre == "" {
		return eris.New("data_centre: the field is missing")
	}
	if len(s.InternalPorts) != 2 || s.InternalPorts[0] > s.InternalPorts[1] || s.InternalPorts[0] < 1 || s.InternalPorts[1] > 65535 {
		return fmt.Errorf("internal_ports: got %v, want the first and last port", s.InternalPorts)
	}
	if s.GraceSeconds <= 0 {
		return fmt.Errorf("grace_s: got %v, want more than 0", s.GraceSeconds)
	}
	if s.MemoryMB < 0 || s.OpenFiles < 0 || s.ReplicaRequestMB < 0 {
		return eris.New("memory_mb, open_files, replica_request_mb: want 0 or more")
	}
	if s.ExtraRatio < 0 || s.ExtraSlack < 0 {
		return eris.New("extra_attempts: want 0 or more")
	}
	for name, value := range map[string]*float64{"cold_overage": s.ColdOverage, "cold_slack": s.ColdSlack, "evacuation_ms": s.EvacuationMS} {
		if value != nil && *value < 0 {
			return fmt.Errorf("%s: got %v, want 0 or more", name, *value)
		}
	}
	return nil
}

// asPeer returns the description of the host that its peers receive.
func (s *Settings) asPeer() split.Peer {
	p := split.Peer{Address: s.PeerAddress, DataCentre: s.DataCentre}
	if s.Processor > 0 {
		p.CPUPercent = int(math.Ceil(s.Processor * split.FullCPU))
	}
	return p
}

// Grace returns the time from SIGTERM to SIGKILL.
func (s *Settings) Grace() time.Duration {
	return time.Duration(s.GraceSeconds * float64(time.Second))
}

// defaultReplicaRequestMB is enough for 64 of the largest bodies that the users' configurations
// allow.
const defaultReplicaRequestMB = 16

// replicaRequestBytes returns the bytes of requests that all hosts together may have
// outstanding at a replica.
func (s *Settings) replicaRequestBytes() int64 {
	if s.ReplicaRequestMB == 0 {
		return defaultReplicaRequestMB << 20
	}
	return int64(s.ReplicaRequestMB) << 20
}
