package discovery

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A presence entry is presenceIDSize bytes that identify an incarnation of a host, and one
// byte with the time since its latest known heartbeat in presenceAgeUnit, rounded up so that
// no host appears more recent than it is.
const (
	presenceIDSize    = 6
	presenceEntrySize = presenceIDSize + 1
	presenceAgeUnit   = 100 * time.Millisecond
	// maxPresenceAge is the largest age in presenceAgeUnit; older hosts are left out.
	maxPresenceAge = 255
	// maxPresenceEntries bounds the hosts of a large data centre that one heartbeat has.
	maxPresenceEntries = 32
)

type presenceID [presenceIDSize]byte

// presenceIDOf identifies an incarnation of a host by a hash of its address and its start.
func presenceIDOf(h *Member) presenceID {
	d := xxhash.New()
	_, _ = d.WriteString(h.Address)
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, h.Start))
	var id presenceID
	copy(id[:], d.Sum(nil))
	return id
}

// encodePresence returns the presence entries of members, at most maxPresenceEntries.
func encodePresence(members []Member) []byte {
	var out []byte
	for i := range members {
		age := (members[i].Age + presenceAgeUnit - 1) / presenceAgeUnit
		if age > maxPresenceAge || len(out) == maxPresenceEntries*presenceEntrySize {
			continue
		}
		id := presenceIDOf(&members[i])
		out = append(append(out, id[:]...), byte(age))
	}
	return out
}

// recordPresence records presence entries that another host sent. It ignores those of
// incarnations that are not known: their address is told otherwise.
func (m *members) recordPresence(now time.Duration, entries []byte) {
	if len(entries) < presenceEntrySize {
		return
	}
	ages := make(map[presenceID]time.Duration, len(entries)/presenceEntrySize)
	for ; len(entries) >= presenceEntrySize; entries = entries[presenceEntrySize:] {
		ages[presenceID(entries[:presenceIDSize])] = time.Duration(entries[presenceIDSize]) * presenceAgeUnit
	}
	for _, h := range m.ordered {
		if age, ok := ages[h.presence]; ok {
			m.recordHeartbeat(h.Member, now-age, now)
		}
	}
}
