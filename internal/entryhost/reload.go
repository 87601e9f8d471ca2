package entryhost

import (
	"context"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// followInterval is how often the settings file is looked at, besides signals.
const followInterval = time.Second

// WatchSettings puts changes of the settings file in force until ctx ends. It looks at
// the file when told to, and now and then without.
func (h *Host) WatchSettings(ctx context.Context, path string, hangups <-chan os.Signal) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	seen := stamp(path)
	for {
		told := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			told = true
		case <-ticker.C:
		}
		now := stamp(path)
		if now == seen && !told {
			continue
		}
		seen = now
		h.reload(ctx, path)
	}
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	changed time.Time
	size    int64
}

// stamp returns the stamp of a file, or the zero stamp if there is none.
func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{changed: info.ModTime(), size: info.Size()}
}

// reload reads the settings file. Settings that cannot be read change nothing.
func (h *Host) reload(ctx context.Context, path string) {
	s, err := LoadSettings(path)
	if err != nil {
		h.counters.IncCode(familySettings, result.CodeOf(err))
		h.log.Error().Int("code", int(result.CodeOf(err))).Err(err).Msg("settings refused")
		return
	}
	h.SetSettings(ctx, s)
}

// familySettings counts settings that were refused, by code.
const familySettings = "gypsumlug_settings_refusals_total"

// SetSettings puts settings in force. Those that are fixed while the process runs
// keep their values, and are named in the log.
func (h *Host) SetSettings(ctx context.Context, s *Settings) {
	old := h.settings.Load()
	changed, fixed := old.differences(s)
	next := *s
	next.keep(old)
	h.settings.Store(&next)
	h.gateway.SetTuning(next.tuning())
	if !slices.Equal(old.Seeds, next.Seeds) {
		h.keeper.SetSeeds(ctx, next.Seeds)
	}
	h.log.Info().Strs("changed", changed).Strs("at_restart", fixed).Msg("settings read")
}

// fixedSettings are the fields that hold until the process ends.
var fixedSettings = map[string]bool{
	"host": true, "data_centre": true, "caller_address": true, "readiness_address": true, "peer_address": true,
	"internal_ports": true, "store_address": true,
}

// differences returns the names of the fields that differ, those that are fixed
// apart.
func (s *Settings) differences(other *Settings) (changed, fixed []string) {
	a, b := reflect.ValueOf(*s), reflect.ValueOf(*other)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		if name := a.Type().Field(i).Tag.Get("json"); fixedSettings[name] {
			fixed = append(fixed, name)
		} else {
			changed = append(changed, name)
		}
	}
	return changed, fixed
}

// keep takes the fields that are fixed from the settings in force.
func (s *Settings) keep(old *Settings) {
	s.Host, s.DataCentre = old.Host, old.DataCentre
	s.CallerAddress, s.ReadinessAddress, s.PeerAddress = old.CallerAddress, old.ReadinessAddress, old.PeerAddress
	s.InternalPorts, s.StoreAddress = old.InternalPorts, old.StoreAddress
}

// tuning returns what the gateway takes from the settings.
func (s *Settings) tuning() gateway.Tuning {
	return gateway.Tuning{
		Allowance: balance.Allowance{
			Ratio:  s.ExtraRatio,
			Slack:  s.ExtraSlack,
			Window: time.Duration(s.ExtraWindowSeconds * float64(time.Second)),
		},
		CPUs:          s.Processor,
		CallerLatency: time.Duration(s.CallerLatencyMS * float64(time.Millisecond)),
	}
}
