package relayer

import (
	"slices"
	"time"
)

// peerRest is the time for which a peer that failed is left alone; outages of the store last for several seconds.
const peerRest = 3 * time.Second

// path decides which way calls go; it has no input, output or clock.
type path struct {
	// lost tells that the store does not serve this VM.
	lost  bool
	peers []string
	// rests are the times until which peers that failed are left alone.
	rests map[string]time.Time
	// used is the peer that served the latest call.
	used string
}

// choose returns the peer to call, given a random number from 0 to 1, or false if none is worth a try.
func (p *path) choose(now time.Time, random float64) (string, bool) {
	var usable []string
	for _, peer := range p.peers {
		if now.Before(p.rests[peer]) {
			continue
		}
		if peer == p.used {
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
func (p *path) setPeers(peers []string) {
	p.peers = peers
	for peer := range p.rests {
		if !slices.Contains(peers, peer) {
			delete(p.rests, peer)
		}
	}
}

// noteDirect takes in whether the store served this VM and reports whether that has changed.
func (p *path) noteDirect(served bool) bool {
	changed := p.lost == served
	p.lost = !served
	return changed
}

// notePeer takes in whether a peer brought an answer.
func (p *path) notePeer(now time.Time, peer string, served bool) {
	if served {
		p.used = peer
		return
	}
	if p.rests == nil {
		p.rests = map[string]time.Time{}
	}
	p.rests[peer] = now.Add(peerRest)
}
