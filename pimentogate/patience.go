package pimentogate

import "time"

const (
	// syncTimeout bounds the exchange of one sync message and its reply, and the dial before
	// it. A peer whose last exchange took long has more time, up to maxSyncTimeout: over the
	// full link of an entry that many callers send bodies to, each way may take more than a
	// second.
	syncTimeout    = time.Second
	maxSyncTimeout = 3 * time.Second
	// syncBackoff replaces a shorter interval after an exchange that failed.
	syncBackoff = 500 * time.Millisecond
	// firstSyncTimeout and firstSyncBackoff take the place of syncTimeout and syncBackoff while
	// an entry that holds quotas knows no other one. Seeds that start with it may not respond
	// yet, and it needs the others to let requests through.
	firstSyncTimeout = 400 * time.Millisecond
	firstSyncBackoff = 200 * time.Millisecond
)

// adapt sets the patience with the peer by the time that the last exchange has taken, of the
// limit that it had.
func (ps *peerSync) adapt(limit, took time.Duration) {
	ps.patience = min(2*min(limit, took), maxSyncTimeout)
}

// syncPatience returns the timeout of an exchange with a peer, and the time to the next one after
// a failure.
func (g *Gate) syncPatience() (timeout, backoff time.Duration) {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if g.settings.LimitWindow > 0 && cs.members.LiveCount() == 1 {
		return firstSyncTimeout, firstSyncBackoff
	}
	return syncTimeout, syncBackoff
}
