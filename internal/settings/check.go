package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"unicode"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/strictjson"
)

// logLevels holds the allowed values of log_level.
var logLevels = []string{"debug", "info", "warn", "error"}

// checker validates settings and adds the faults that it finds to doc.
type checker struct {
	doc *strictjson.Document
}

func checkSettings(doc *strictjson.Document, s *Settings) {
	c := checker{doc: doc}
	for _, field := range []string{"peer_address", "caller_address", "admin_address", "data_centre", "platform"} {
		if !doc.HasField(field) {
			c.addFault(field, "the field is missing", "add it")
		}
	}
	c.checkPeerAddress("peer_address", s.PeerAddress, true)
	c.checkAddress("caller_address", s.CallerAddress)
	c.checkAddress("admin_address", s.AdminAddress)
	c.checkDistinctAddresses(s)
	c.checkDataCentre(s.DataCentre)
	c.checkPlatform(s.Platform)
	c.checkPeers(s.Peers)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.addFault("log_level", fmt.Sprintf("got %q", s.LogLevel), "want one of "+strings.Join(logLevels, ", "))
	}
	c.checkRange("balancer_lag_ms", s.BalancerLagMS, 0, maxBalancerLagMS)
	c.checkRange("stop_timeout_ms", s.StopTimeoutMS, 1, maxStopTimeoutMS)
	c.checkRange("start_wait_ms", s.StartWaitMS, 0, maxStartWaitMS)
	c.checkRange("memory_mb", s.MemoryMB, 0, maxMemoryMB)
	c.checkRange("open_files", s.OpenFiles, 0, maxOpenFiles)
	if s.StopTimeoutMS <= s.BalancerLagMS {
		c.addFault("stop_timeout_ms", fmt.Sprintf("%d ms leave no time after balancer_lag_ms", s.StopTimeoutMS),
			fmt.Sprintf("want more than balancer_lag_ms, which is %d", s.BalancerLagMS))
	}
}

func (c checker) addFault(field, reason, remedy string) {
	c.doc.AddFault(result.SettingsValue, field, reason, remedy)
}

func (c checker) checkRange(field string, v, low, high int) {
	if v < low || v > high {
		c.addFault(field, fmt.Sprintf("got %d", v), fmt.Sprintf("want %d to %d", low, high))
	}
}

// checkAddress parses text and adds a fault if it is not an IP and a port. It adds
// none for an absent field, which has been reported already.
func (c checker) checkAddress(field, text string) (netip.AddrPort, bool) {
	if !c.doc.HasField(field) {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Addr().Zone() != "" {
		c.addFault(field, fmt.Sprintf("got %q", text), "want an IP and a port, such as 127.0.0.1:7400")
		return netip.AddrPort{}, false
	}
	return a, true
}

// checkPeerAddress checks that peers can connect to an address. allowPortZero is
// set for the host's own address, whose port the system may choose.
func (c checker) checkPeerAddress(field, text string, allowPortZero bool) {
	a, ok := c.checkAddress(field, text)
	if !ok {
		return
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		c.addFault(field, fmt.Sprintf("%s is not the address of a single host", a.Addr()), "want the IP by which peers reach the host")
	}
	if a.Port() == 0 && !allowPortZero {
		c.addFault(field, "got port 0", "want 1 to 65535")
	}
}

func (c checker) checkDistinctAddresses(s *Settings) {
	seen := make(map[string]string)
	for _, f := range []struct{ field, address string }{
		{"peer_address", s.PeerAddress},
		{"caller_address", s.CallerAddress},
		{"admin_address", s.AdminAddress},
	} {
		if f.address == "" || strings.HasSuffix(f.address, ":0") {
			continue
		}
		if other, ok := seen[f.address]; ok {
			c.addFault(f.field, f.address+" is also the value of "+other, "use a different port for each")
		}
		seen[f.address] = f.field
	}
}

func (c checker) checkDataCentre(name string) {
	if !c.doc.HasField("data_centre") {
		return
	}
	unprintable := func(r rune) bool { return !unicode.IsPrint(r) }
	if name == "" || len(name) > maxDataCentreBytes || strings.ContainsFunc(name, unprintable) {
		c.addFault("data_centre", fmt.Sprintf("got %q", name), fmt.Sprintf("want a name of 1 to %d bytes", maxDataCentreBytes))
	}
}

func (c checker) checkPlatform(addresses []string) {
	if c.doc.HasField("platform") && (len(addresses) == 0 || len(addresses) > maxAddresses) {
		c.addFault("platform", fmt.Sprintf("has %d entries", len(addresses)), fmt.Sprintf("want 1 to %d", maxAddresses))
	}
	for i, text := range addresses {
		field := fmt.Sprintf("platform[%d]", i)
		if !isBaseAddress(text) {
			c.addFault(field, fmt.Sprintf("got %q", text), "want http://IP:port without a path")
		}
	}
}

func (c checker) checkPeers(addresses []string) {
	if len(addresses) > maxAddresses {
		c.addFault("peers", fmt.Sprintf("has %d entries", len(addresses)), fmt.Sprintf("want at most %d", maxAddresses))
	}
	for i, text := range addresses {
		c.checkPeerAddress(fmt.Sprintf("peers[%d]", i), text, false)
	}
}

// isBaseAddress reports whether text has the form http://IP:port.
func isBaseAddress(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return false
	}
	a, err := netip.ParseAddrPort(u.Host)
	return err == nil && a.Port() != 0
}
