package pimentogate

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"pimentoarch/pimentoroute"
)

// An overdue answer of the platform may never come, since the entry is cut off, or it may wait on the
// entry's own link behind the bodies of callers, or for processor time here. In the second case a
// change may be in force everywhere else, and the entry must not act by its copy. While an answer is
// overdue, the entry probes targets near by: if these reply promptly for a while, it is cut off.

const (
	// cutOffTTL is the time for which the platform counts as cut off after it was found so.
	cutOffTTL = 3 * time.Second
	// promptReply is the time within which a target replies, or the platform refuses, over a link
	// that has room.
	promptReply = 300 * time.Millisecond
	// promptTime is the time for which targets must reply promptly while an answer is overdue.
	promptTime = 500 * time.Millisecond
	// linkCheckInterval is the pause between two checks, and linkCheckTargets the number of
	// targets that are asked at a time.
	linkCheckInterval = 100 * time.Millisecond
	linkCheckTargets  = 3
)

// isCutOff reports whether this entry was lately found to be cut off from the platform. It is
// called with mu held.
func (cs *clusterState) isCutOff(now time.Duration) bool {
	return cs.cutOffAt != 0 && now-cs.cutOffAt < cutOffTTL
}

// recordCutOff records that the answer to a read isn't held up by this entry's own link.
func (g *Gate) recordCutOff() {
	cs := g.cluster
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.cutOffAt = g.now()
}

// noteRefusedRead records a read that failed at once: the refusal of the platform, or of the machine
// at its address, has come over a link that has room.
func (g *Gate) noteRefusedRead(err error, took time.Duration) {
	if err != nil && !isAnswer(err) && took < promptReply {
		g.recordCutOff()
	}
}

// checkLink finds out whether this entry's own link holds up an answer of the platform that is
// overdue, until ended is closed.
func (g *Gate) checkLink(ended <-chan struct{}) {
	var promptSince time.Time
	for {
		asked := time.Now()
		prompt := g.nearTargetsReply()
		select {
		case <-ended:
			return
		default:
		}
		switch {
		case !prompt:
			promptSince = time.Time{}
		case promptSince.IsZero():
			promptSince = asked
		case time.Since(promptSince) >= promptTime:
			g.recordCutOff()
		}
		select {
		case <-ended:
			return
		case <-time.After(linkCheckInterval):
		}
	}
}

// nearTargetsReply reports whether most of some targets near by reply promptly.
func (g *Gate) nearTargetsReply() bool {
	t := g.table.Load()
	if t == nil || t.Config == nil {
		return false
	}
	targets := g.nearTargets(t)
	replies := make(chan bool, len(targets))
	for _, tg := range targets {
		if err := g.workers.Submit(func() { replies <- g.repliesPromptly(t.Config.Services[tg.Service], tg) }); err != nil {
			replies <- false // The entry is overloaded.
		}
	}
	prompt := 0
	for range targets {
		if <-replies {
			prompt++
		}
	}
	return 2*prompt > len(targets)
}

// nearTargets returns some of the nearest targets that may be probed.
func (g *Gate) nearTargets(t *pimentoroute.Table) []*pimentoroute.Target {
	var list []*pimentoroute.Target
	for name, targets := range t.Targets {
		if t.Config.Services[name] != nil {
			list = append(list, targets...)
		}
	}
	list = slices.DeleteFunc(list, func(tg *pimentoroute.Target) bool { return !g.admitsProbes(tg) })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b *pimentoroute.Target) int { return cmp.Compare(g.distance(a), g.distance(b)) })
	return list[:min(len(list), linkCheckTargets)]
}

// repliesPromptly reports whether a target, or its machine, replies promptly to a probe.
func (g *Gate) repliesPromptly(s *pimentoroute.Service, tg *pimentoroute.Target) bool {
	g.chargeProbe()
	asked := time.Now()
	cand := &candidate{target: tg}
	g.sendProbe(s, cand, false)
	cand.release()
	replied := cand.err == nil || errors.Is(cand.err, syscall.ECONNREFUSED)
	return replied && time.Since(asked) < promptReply
}
