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

// Settings are the settings of a host, in JSON with comments. Unknown fields are
// ignored, since the platform adds some.
type Settings struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// CallerAddress, ReadinessAddress and PeerAddress are where the host listens,
	// IP and port.
	CallerAddress    string `json:"caller_address"`
	ReadinessAddress string `json:"readiness_address"`
	PeerAddress      string `json:"peer_address"`
	// InternalPorts are the first and last port that hosts may use among
	// themselves; metrics are served on the last.
	InternalPorts []int `json:"internal_ports"`
	// Seeds are peer addresses of some hosts, which may be stale.
	Seeds []string `json:"seeds"`
	// StoreAddress is the platform's store, IP and port.
	StoreAddress string `json:"store_address"`
	// MemoryMB is the memory of the host, which the process stays below.
	MemoryMB int `json:"memory_mb"`
	// Processor is the share of a processor that the host has.
	Processor float64 `json:"processor"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `json:"grace_s"`
	// CallerLatencyMS is the one-way time between callers and the host.
	CallerLatencyMS float64 `json:"caller_latency_ms"`
	// Extra attempts of one service over all hosts, in any window.
	ExtraRatio float64 `json:"extra_attempts_ratio"`
	ExtraSlack float64 `json:"extra_attempts_slack"`
	// ExtraWindowSeconds is the window of the slack.
	ExtraWindowSeconds float64 `json:"extra_attempts_window_s"`
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
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, result.Errorf(result.SettingsSyntax, "%v", err)
	}
	var s Settings
	if err := json.Unmarshal(standard, &s); err != nil {
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
	if s.ExtraRatio < 0 || s.ExtraSlack < 0 {
		return eris.New("extra_attempts: want 0 or more")
	}
	return nil
}

// self returns the host as its peers know it.
func (s *Settings) self() split.Peer {
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
