package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/split"
)

func (s *sharedState) setPeers(now time.Duration, peers []split.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.SetPeers(peers)
	s.recordRecentPeers(now, peers)
	s.limits.SendersChanged()
	if s.view != nil {
		s.updateHostsByService()
	}
}

// locallyServedGroups reports, for each group, whether this host serves it
// itself. It serves none if replicaCentres, the data centres with enough
// replicas, do not include this host's.
func (s *sharedState) locallyServedGroups(groups int, replicaCentres []string) []bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	local := make([]bool, groups)
	if s.peers.PreferRemote(replicaCentres) {
		return local
	}
	for i := range local {
		local[i] = s.peers.Owns(i, groups)
	}
	return local
}

// pickPeer chooses a host for a group and records that a request is sent to it.
func (s *sharedState) pickPeer(now time.Duration, group, groups int, replicaCentres []string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address, ok := s.peers.Pick(now, group, groups, replicaCentres, s.rng)
	if ok {
		s.peers.RequestSent(address)
	}
	return address, ok
}

// peerRequestEnded records the end of a request to another host. A request that
// was cancelled before its deadline says nothing about the host's health.
func (s *sharedState) peerRequestEnded(now time.Duration, address string, ok, cancelled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancelled {
		s.peers.RequestCancelled(address)
		return
	}
	s.peers.RequestEnded(now, address, ok)
}

// peerReplyLate records that a host's reply was late.
func (s *sharedState) peerReplyLate(now time.Duration, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.ReplyLate(now, address)
}
