package questionnaire

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
)

// What counts up from one address of a range to the next.
const (
	nextIP   = "ip"
	nextPort = "port"
)

// serviceName returns the name of service i of the group, from 0.
func (s *Service) serviceName(i int) string {
	if s.Count == 1 {
		return s.Name
	}
	width := len(fmt.Sprint(s.Count))
	return fmt.Sprintf("%s-%0*d", s.Name, width, i+1)
}

// place returns where replica r of service i of the group is, or an empty
// address if its range has ended.
func (s *Service) place(i, r int) EndpointAt {
	if len(s.Addresses.List) > 0 {
		at := s.Addresses.List[i*s.Shape.Replicas+r]
		return EndpointAt{DataCentre: at.DataCentre, Address: nth(at.Address, 0, nextIP)}
	}
	ranges := s.Addresses.Ranges
	// Service i begins with range i, so that data centres share the load, and
	// each replica takes the next one.
	slot := i + r
	at := ranges[slot%len(ranges)]
	return EndpointAt{DataCentre: at.DataCentre, Address: nth(at.First, s.offset(i, r), s.Addresses.Next)}
}

// offset returns how many endpoints of the group come before replica r of
// service i in its range.
func (s *Service) offset(i, r int) int {
	n := len(s.Addresses.Ranges)
	before := 0
	for earlier := range i {
		before += countCongruent(s.Shape.Replicas, n, i+r-earlier)
	}
	return before + r/n
}

// countCongruent returns how many of 0 to limit-1 are congruent to residue
// modulo n.
func countCongruent(limit, n, residue int) int {
	residue = ((residue % n) + n) % n
	if residue >= limit {
		return 0
	}
	return (limit-residue-1)/n + 1
}

// nth returns the address n after first, or nothing past the last one.
func nth(first string, n int, next string) string {
	a, err := netip.ParseAddrPort(first)
	if err != nil {
		return ""
	}
	if next == nextPort {
		port := int(a.Port()) + n
		if port > 1<<16-1 {
			return ""
		}
		return netip.AddrPortFrom(a.Addr(), uint16(port)).String()
	}
	ip, ok := addToIP(a.Addr(), n)
	if !ok {
		return ""
	}
	return netip.AddrPortFrom(ip, a.Port()).String()
}

// addToIP returns the IP n after ip, and whether there is one. Of an IPv6
// address only the last 32 bits count up.
func addToIP(ip netip.Addr, n int) (netip.Addr, bool) {
	raw := ip.AsSlice()
	low := raw[len(raw)-4:]
	sum := uint64(binary.BigEndian.Uint32(low)) + uint64(n)
	if sum > math.MaxUint32 {
		return netip.Addr{}, false
	}
	binary.BigEndian.PutUint32(low, uint32(sum))
	return netip.AddrFromSlice(raw)
}

// uniqueServices checks the names of all services of all groups, and that there
// are not too many.
func (c *checker) uniqueServices() {
	owner := make(map[string]int)
	total, endpoints := 0, 0
	for i := range c.q.Services {
		s := &c.q.Services[i]
		if s.Count < 1 || s.Count > maxServiceCalls || s.Name == "" {
			continue
		}
		total += s.Count
		if s.Shape != nil {
			endpoints += s.Count * min(s.Shape.Replicas, maxReplicas)
		}
		for n := range s.Count {
			c.uniqueService(i, s.serviceName(n), owner)
		}
	}
	if total > maxServices {
		c.value("services", fmt.Sprintf("there are %d services in all groups", total), fmt.Sprintf("want at most %d", maxServices))
	}
	if endpoints > maxEndpoints {
		c.value("services", fmt.Sprintf("there are %d endpoints in all groups", endpoints), fmt.Sprintf("want at most %d", maxEndpoints))
	}
}

func (c *checker) uniqueService(i int, name string, owner map[string]int) {
	path := fmt.Sprintf("services[%d].name", i)
	if other, ok := owner[name]; ok && other != i {
		c.reference(path, fmt.Sprintf("a service %q comes from services[%d] already", name, other), "give each its own name")
	}
	owner[name] = i
	if len(name) > maxNameBytes {
		c.value(path, fmt.Sprintf("%q is too long", name), fmt.Sprintf("want at most %d bytes with the number", maxNameBytes))
	}
}

// uniqueAddresses checks that no two endpoints have the same address.
func (c *checker) uniqueAddresses() {
	owner := make(map[string]string)
	for i := range c.q.Services {
		s := &c.q.Services[i]
		path := fmt.Sprintf("services[%d].addresses", i)
		for n := range s.Count {
			for r := range s.Shape.Replicas {
				c.uniqueAddress(path, s.place(n, r).Address, endpointID(s.serviceName(n), r), owner)
			}
		}
	}
}

func (c *checker) uniqueAddress(path, address, id string, owner map[string]string) {
	if address == "" {
		c.value(path, "a range has too few addresses", "begin lower, or let ip count up")
		return
	}
	if other, ok := owner[address]; ok {
		c.reference(path, fmt.Sprintf("%s would be the address of %s and of %s", address, other, id), "give ranges that do not overlap")
		return
	}
	owner[address] = id
}
