package gateway

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/split"
)

func (b *beliefs) setPeers(peers []split.Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.SetPeers(peers)
	if b.view != nil {
		b.share()
	}
}

// ownGroups returns which groups this host serves of a query whose replicas are
// near some data centres: none if hosts there serve all.
func (b *beliefs) ownGroups(groups int, near []string) []bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make([]bool, groups)
	if b.peers.Elsewhere(near) {
		return own
	}
	for i := range own {
		own[i] = b.peers.Serves(i, groups)
	}
	return own
}

// pickPeer chooses a host of a group and notes a request to it.
func (b *beliefs) pickPeer(now time.Duration, group, groups int, near []string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	address, ok := b.peers.Pick(now, group, groups, near, b.rng)
	if ok {
		b.peers.Sent(address)
	}
	return address, ok
}

// peerEnded notes the end of a request to a host. One that was given up before its
// time tells nothing of the host.
func (b *beliefs) peerEnded(now time.Duration, address string, ok, givenUp bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if givenUp {
		b.peers.GivenUp(address)
		return
	}
	b.peers.Ended(now, address, ok)
}

// peerLate notes that the reply of a host did not come in time.
func (b *beliefs) peerLate(now time.Duration, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.Late(now, address)
}
