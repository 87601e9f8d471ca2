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

// logLevels are the allowed log levels.
var logLevels = []string{"debug", "info", "warn", "error"}

type checker struct {
	doc *strictjson.Document
}

func check(doc *strictjson.Document, s *Settings) {
	c := checker{doc: doc}
	for _, field := range []string{"peer_address", "caller_address", "admin_address", "data_centre", "platform"} {
		if !doc.HasField(field) {
			c.add(field, "the field is missing", "give it")
		}
	}
	c.peerAddress("peer_address", s.PeerAddress, true)
	c.address("caller_address", s.CallerAddress)
	c.address("admin_address", s.AdminAddress)
	c.distinctAddresses(s)
	c.dataCentre(s.DataCentre)
	c.platform(s.Platform)
	c.peers(s.Peers)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.add("log_level", fmt.Sprintf("got %q", s.LogLevel), "want one of "+strings.Join(logLevels, ", "))
	}
	c.within("balancer_lag_ms", s.BalancerLagMS, 0, maxBalancerLagMS)
	c.within("stop_timeout_ms", s.StopTimeoutMS, 1, maxStopTimeoutMS)
	c.within("start_wait_ms", s.StartWaitMS, 0, maxStartWaitMS)
	if s.StopTimeoutMS <= s.BalancerLagMS {
		c.add("stop_timeout_ms", fmt.Sprintf("%d ms leave no time after the balancer's lag", s.StopTimeoutMS),
			fmt.Sprintf("want more than balancer_lag_ms, which is %d", s.BalancerLagMS))
	}
}

func (c checker) add(field, reason, remedy string) {
	c.doc.AddFault(result.SettingsValue, field, reason, remedy)
}

func (c checker) within(field string, v, low, high int) {
	if v < low || v > high {
		c.add(field, fmt.Sprintf("got %d", v), fmt.Sprintf("want %d to %d", low, high))
	}
}

// address parses an IP and port; a field that is absent was reported before.
func (c checker) address(field, text string) (netip.AddrPort, bool) {
	if !c.doc.HasField(field) {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Addr().Zone() != "" {
		c.add(field, fmt.Sprintf("got %q", text), "want an IP and a port, such as 127.0.0.1:7400")
		return netip.AddrPort{}, false
	}
	return a, true
}

func (c checker) peerAddress(field, text string, portZero bool) {
	a, ok := c.address(field, text)
	if !ok {
		return
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		c.add(field, fmt.Sprintf("%s names no single host", a.Addr()), "want the IP by which peers reach the host")
	}
	if a.Port() == 0 && !portZero {
		c.add(field, "got port 0", "want 1 to 65535")
	}
}

func (c checker) distinctAddresses(s *Settings) {
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
			c.add(f.field, f.address+" is taken by "+other, "give each its own port")
		}
		seen[f.address] = f.field
	}
}

func (c checker) dataCentre(name string) {
	if !c.doc.HasField("data_centre") {
		return
	}
	invalid := func(r rune) bool { return !unicode.IsPrint(r) }
	if name == "" || len(name) > maxDataCentreSize || strings.ContainsFunc(name, invalid) {
		c.add("data_centre", fmt.Sprintf("got %q", name), fmt.Sprintf("want a name of 1 to %d bytes", maxDataCentreSize))
	}
}

func (c checker) platform(addresses []string) {
	if c.doc.HasField("platform") && (len(addresses) == 0 || len(addresses) > maxAddresses) {
		c.add("platform", fmt.Sprintf("has %d entries", len(addresses)), fmt.Sprintf("want 1 to %d", maxAddresses))
	}
	for i, text := range addresses {
		field := fmt.Sprintf("platform[%d]", i)
		if !isBaseAddress(text) {
			c.add(field, fmt.Sprintf("got %q", text), "want http://IP:port without a path")
		}
	}
}

func (c checker) peers(addresses []string) {
	if len(addresses) > maxAddresses {
		c.add("peers", fmt.Sprintf("has %d entries", len(addresses)), fmt.Sprintf("want at most %d", maxAddresses))
	}
	for i, text := range addresses {
		c.peerAddress(fmt.Sprintf("peers[%d]", i), text, false)
	}
}

func isBaseAddress(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return false
	}
	a, err := netip.ParseAddrPort(u.Host)
	return err == nil && a.Port() != 0
}
