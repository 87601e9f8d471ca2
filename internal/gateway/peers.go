package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/split"
)

func (s *sharedState) setPeers(peers []split.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.SetPeers(peers)
	if s.view != nil {
		s.updateHostsByService()
	}
}

// locallyServedGroups returns which groups this host serves of a query whose replicas are
// near some data centres: none if hosts there serve all.
func (s *sharedState) locallyServedGroups(groups int, near []string) []bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := make([]bool, groups)
	if s.peers.PreferRemote(near) {
		return own
	}
	for i := range own {
		own[i] = s.peers.Owns(i, groups)
	}
	return own
}

// pickPeer chooses a host of a group and notes a request to it.
func (s *sharedState) pickPeer(now time.Duration, group, groups int, near []string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address, ok := s.peers.Pick(now, group, groups, near, s.rng)
	if ok {
		s.peers.RequestSent(address)
	}
	return address, ok
}

// peerRequestEnded notes the end of a request to a host. One that was given up before its
// time tells nothing of the host.
func (s *sharedState) peerRequestEnded(now time.Duration, address string, ok, givenUp bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if givenUp {
		s.peers.RequestCancelled(address)
		return
	}
	s.peers.RequestEnded(now, address, ok)
}

// peerReplyLate notes that the reply of a host did not come in time.
func (s *sharedState) peerReplyLate(now time.Duration, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.ReplyLate(now, address)
}
