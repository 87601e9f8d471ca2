package questionnaire

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
)

// Values of next: the part of an address that is incremented within a range.
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

// endpointLocation returns the data centre and address of replica r of service i
// of the group. The address is empty if its range has no more addresses.
func (s *Service) endpointLocation(i, r int) EndpointAt {
	if len(s.Addresses.List) > 0 {
		location := s.Addresses.List[i*s.Shape.Replicas+r]
		// With n 0, nthAddress returns the canonical form of the address.
		return EndpointAt{DataCentre: location.DataCentre, Address: nthAddress(location.Address, 0, nextIP)}
	}
	ranges := s.Addresses.Ranges
	// The first replica of service i is in range i and each further replica in the
	// next one, so that the load is spread over the data centres.
	rangeIndex := i + r
	location := ranges[rangeIndex%len(ranges)]
	return EndpointAt{DataCentre: location.DataCentre, Address: nthAddress(location.First, s.rangeOffset(i, r), s.Addresses.Next)}
}

// rangeOffset returns the number of endpoints of the group that precede replica r
// of service i in its address range.
func (s *Service) rangeOffset(i, r int) int {
	rangeCount := len(s.Addresses.Ranges)
	offset := 0
	// Replica q of an earlier service is in the same range if earlier+q and i+r are
	// congruent modulo the number of ranges.
	for earlier := range i {
		offset += countCongruent(s.Shape.Replicas, rangeCount, i+r-earlier)
	}
	return offset + r/rangeCount
}

// countCongruent returns how many integers from 0 to limit-1 are congruent to
// residue modulo n.
func countCongruent(limit, n, residue int) int {
	residue = ((residue % n) + n) % n
	if residue >= limit {
		return 0
	}
	return (limit-residue-1)/n + 1
}

// nthAddress returns the address n after first, or an empty string if there is
// none.
func nthAddress(first string, n int, next string) string {
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

// addToIP returns the IP n after ip, and whether there is one. Only the last 32
// bits of an IPv6 address are incremented.
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

// checkServiceNames checks that the names of the services of all groups are unique
// and valid, and limits the total number of services and endpoints.
func (c *checker) checkServiceNames() {
	groupByName := make(map[string]int)
	services, endpoints := 0, 0
	for i := range c.q.Services {
		s := &c.q.Services[i]
		if s.Count < 1 || s.Count > maxPerGroup || s.Name == "" {
			continue
		}
		services += s.Count
		if s.Shape != nil {
			endpoints += s.Count * min(s.Shape.Replicas, maxReplicas)
		}
		for n := range s.Count {
			c.checkServiceName(i, s.serviceName(n), groupByName)
		}
	}
	if services > maxServices {
		c.addValueFault("services", fmt.Sprintf("there are %d services in all groups", services), fmt.Sprintf("want at most %d", maxServices))
	}
	if endpoints > maxEndpoints {
		c.addValueFault("services", fmt.Sprintf("there are %d endpoints in all groups", endpoints), fmt.Sprintf("want at most %d", maxEndpoints))
	}
}

func (c *checker) checkServiceName(i int, name string, groupByName map[string]int) {
	path := fmt.Sprintf("services[%d].name", i)
	if other, ok := groupByName[name]; ok && other != i {
		c.addReferenceFault(path, fmt.Sprintf("a service %q comes from services[%d] already", name, other), "give each its own name")
	}
	groupByName[name] = i
	if len(name) > maxNameBytes {
		c.addValueFault(path, fmt.Sprintf("%q is too long", name), fmt.Sprintf("want at most %d bytes with the number", maxNameBytes))
	}
}

// checkAddressConflicts checks that no two endpoints have the same address.
func (c *checker) checkAddressConflicts() {
	endpointByAddress := make(map[string]string)
	for i := range c.q.Services {
		s := &c.q.Services[i]
		path := fmt.Sprintf("services[%d].addresses", i)
		for n := range s.Count {
			for r := range s.Shape.Replicas {
				c.checkAddressConflict(path, s.endpointLocation(n, r).Address, endpointID(s.serviceName(n), r), endpointByAddress)
			}
		}
	}
}

func (c *checker) checkAddressConflict(path, address, id string, endpointByAddress map[string]string) {
	if address == "" {
		c.addValueFault(path, "a range has too few addresses", "begin lower, or let ip count up")
		return
	}
	if other, ok := endpointByAddress[address]; ok {
		c.addReferenceFault(path, fmt.Sprintf("%s would be the address of %s and of %s", address, other, id), "give ranges that do not overlap")
		return
	}
	endpointByAddress[address] = id
}
