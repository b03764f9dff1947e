package relayer

import (
	"slices"
	"time"
)

// peerCooldown is the time for which a failed peer is not used; outages of the store last several seconds.
const peerCooldown = 3 * time.Second

// selector records whether the store is available directly and selects a peer otherwise; it performs no I/O and reads no clock.
type selector struct {
	// storeUnavailable means that the store does not serve this VM directly.
	storeUnavailable bool
	peers            []string
	// retryAt holds the times at which failed peers may be used again.
	retryAt map[string]time.Time
	// lastUsed is the peer that most recently returned a response.
	lastUsed string
}

// choose returns the last used peer, or else one chosen by random, a number in [0, 1); the result is false if every peer has failed recently.
func (s *selector) choose(now time.Time, random float64) (string, bool) {
	var usable []string
	for _, peer := range s.peers {
		if now.Before(s.retryAt[peer]) {
			continue
		}
		if peer == s.lastUsed {
			return peer, true
		}
		usable = append(usable, peer)
	}
	if len(usable) == 0 {
		return "", false
	}
	return usable[int(random*float64(len(usable)))], true
}

// setPeers replaces the peers and drops the failure times of removed ones.
func (s *selector) setPeers(peers []string) {
	s.peers = peers
	for peer := range s.retryAt {
		if !slices.Contains(peers, peer) {
			delete(s.retryAt, peer)
		}
	}
}

// recordDirect records whether the store served a direct request and reports whether its availability has changed.
func (s *selector) recordDirect(served bool) bool {
	changed := s.storeUnavailable == served
	s.storeUnavailable = !served
	return changed
}

// recordPeer records whether a peer returned a response of the store.
func (s *selector) recordPeer(now time.Time, peer string, served bool) {
	if served {
		s.lastUsed = peer
		return
	}
	if s.retryAt == nil {
		s.retryAt = map[string]time.Time{}
	}
	s.retryAt[peer] = now.Add(peerCooldown)
}
