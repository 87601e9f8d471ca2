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

// settingsPollInterval is how often the settings file is checked for changes.
const settingsPollInterval = time.Second

// WatchSettings applies changes of the settings file until ctx is done. It reads the
// file on each signal from hangups, and when the file's size or modification time has
// changed.
func (h *Host) WatchSettings(ctx context.Context, path string, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastStamp := statFile(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		stamp := statFile(path)
		if stamp == lastStamp && !signalled {
			continue
		}
		lastStamp = stamp
		h.reload(ctx, path)
	}
}

// fileStamp is compared to detect that a file has changed.
type fileStamp struct {
	modifiedAt time.Time
	size       int64
}

// statFile returns the stamp of a file, or the zero stamp if os.Stat fails, for example
// because there is no file.
func statFile(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modifiedAt: info.ModTime(), size: info.Size()}
}

// reload reads and applies the settings file. If it is invalid, the current settings
// stay in effect.
func (h *Host) reload(ctx context.Context, path string) {
	s, err := LoadSettings(path)
	if err != nil {
		h.counters.IncCode(familySettings, result.CodeOf(err))
		h.log.Error().Int("code", int(result.CodeOf(err))).Err(err).Msg("settings refused")
		return
	}
	h.SetSettings(ctx, s)
}

// familySettings is the counter family of refused settings, by result code.
const familySettings = "gypsumlug_settings_refusals_total"

// SetSettings applies settings. Fields that are fixed until a restart keep their
// values; the log names those that differ.
func (h *Host) SetSettings(ctx context.Context, s *Settings) {
	old := h.settings.Load()
	changed, fixed := old.differences(s)
	next := *s
	next.keepFixed(old)
	h.settings.Store(&next)
	h.gateway.SetTuning(next.tuning())
	if !slices.Equal(old.Seeds, next.Seeds) {
		h.agent.SetSeeds(ctx, next.Seeds)
	}
	h.log.Info().Strs("changed", changed).Strs("at_restart", fixed).Msg("settings read")
}

// fixedSettings contains the names of the fields that only a restart changes.
var fixedSettings = map[string]bool{
	"host": true, "data_centre": true, "caller_address": true, "readiness_address": true, "peer_address": true,
	"internal_ports": true, "store_address": true, "open_files": true,
}

// differences returns the names of the fields that differ, separated into those that
// can change and those that are fixed until a restart.
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

// keepFixed copies the fields that are fixed until a restart from old.
func (s *Settings) keepFixed(old *Settings) {
	s.Host, s.DataCentre = old.Host, old.DataCentre
	s.CallerAddress, s.ReadinessAddress, s.PeerAddress = old.CallerAddress, old.ReadinessAddress, old.PeerAddress
	s.InternalPorts, s.StoreAddress, s.OpenFiles = old.InternalPorts, old.StoreAddress, old.OpenFiles
}

// coldBound returns the bound of the requests that a cold replica may get.
func (s *Settings) coldBound() gateway.ColdBound {
	if s.ColdOverage == nil {
		return gateway.ColdBound{}
	}
	bound := gateway.ColdBound{Stated: true, Overage: *s.ColdOverage}
	if s.ColdSlack != nil {
		bound.Slack = *s.ColdSlack
	}
	return bound
}

// tuning returns the parameters of the gateway that come from the settings.
func (s *Settings) tuning() gateway.Tuning {
	return gateway.Tuning{
		Allowance: balance.Allowance{
			Ratio:  s.ExtraRatio,
			Slack:  s.ExtraSlack,
			Window: time.Duration(s.ExtraWindowSeconds * float64(time.Second)),
		},
		Cold:          s.coldBound(),
		CPUs:          s.Processor,
		CallerLatency: time.Duration(s.CallerLatencyMS * float64(time.Millisecond)),
	}
}
