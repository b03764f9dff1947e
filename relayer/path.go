package relayer

import (
	"slices"
	"time"
)

// peerCooldown is the time for which a peer that failed is left alone; outages of the store last for several seconds.
const peerCooldown = 3 * time.Second

// selector decides which way calls go; it has no input, output or clock.
type selector struct {
	// storeUnavailable tells that the store does not serve this VM.
	storeUnavailable bool
	peers            []string
	// retryAt are the times until which peers that failed are left alone.
	retryAt map[string]time.Time
	// lastUsed is the peer that served the latest call.
	lastUsed string
}

// choose returns the peer to call, given a random number from 0 to 1, or false if none is worth a try.
func (p *selector) choose(now time.Time, random float64) (string, bool) {
	var usable []string
	for _, peer := range p.peers {
		if now.Before(p.retryAt[peer]) {
			continue
		}
		if peer == p.lastUsed {
			return peer, true
		}
		usable = append(usable, peer)
	}
	if len(usable) == 0 {
		return "", false
	}
	return usable[int(random*float64(len(usable)))], true
}

// setPeers replaces the peers.
func (p *selector) setPeers(peers []string) {
	p.peers = peers
	for peer := range p.retryAt {
		if !slices.Contains(peers, peer) {
			delete(p.retryAt, peer)
		}
	}
}

// recordDirect takes in whether the store served this VM and reports whether that has changed.
func (p *selector) recordDirect(served bool) bool {
	changed := p.storeUnavailable == served
	p.storeUnavailable = !served
	return changed
}

// recordPeer takes in whether a peer brought an answer.
func (p *selector) recordPeer(now time.Time, peer string, served bool) {
	if served {
		p.lastUsed = peer
		return
	}
	if p.retryAt == nil {
		p.retryAt = map[string]time.Time{}
	}
	p.retryAt[peer] = now.Add(peerCooldown)
}
