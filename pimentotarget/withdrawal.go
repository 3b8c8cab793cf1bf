package pimentotarget

import "time"

// Run identifies one start of a target among those under the same name: the time at which
// it started, as the target publishes it. 0 means unknown.
type Run uint64

// Admission says whether a target may get new requests.
type Admission uint8

const (
	// AdmitAll means that the target hasn't withdrawn.
	AdmitAll Admission = iota
	// AdmitLastResort means that the target is leaving, and only gets requests that no
	// other target can serve.
	AdmitLastResort
	// AdmitPaused means that the target has asked for a pause, and gets nothing, probes
	// included.
	AdmitPaused
	// AdmitNone means that the target has been leaving for so long that it gets no
	// requests.
	AdmitNone
)

// MaxPause bounds the pause that a target may ask for, so that a mistaken value doesn't
// take it out of service for good.
const MaxPause = 10 * time.Minute

// leavingRetention is the time for which a leaving target is remembered after it was last
// published.
const leavingRetention = 10 * time.Minute

// Withdrawal is what one target has said about new requests: that it is leaving, or that
// it wants none for some time. Both hold for the run that said so, until another one is
// published. The zero value admits everything. It isn't safe for concurrent use.
type Withdrawal struct {
	run         Run
	leaving     bool
	leavingAt   time.Duration
	pausedUntil time.Duration
}

// SetRun records which run of the target is published now. A later run than the known one
// ends the withdrawal; an earlier or unknown one changes nothing.
func (w *Withdrawal) SetRun(run Run) {
	if run <= w.run {
		return
	}
	if w.run != 0 {
		*w = Withdrawal{}
	}
	w.run = run
}

// Leave records that the target said that it is leaving. It reports whether that was
// news.
func (w *Withdrawal) Leave(now time.Duration) bool {
	if w.leaving {
		return false
	}
	w.leaving, w.leavingAt = true, now
	return true
}

// Pause records that the target wants no requests for a time, of which it counts at most
// MaxPause. It reports whether the target wasn't paused before. A pause is never
// shortened.
func (w *Withdrawal) Pause(now, d time.Duration) bool {
	began := now >= w.pausedUntil
	w.pausedUntil = max(w.pausedUntil, now+min(d, MaxPause))
	return began && w.pausedUntil > now
}

// Admission returns whether the target may get new requests. drain is the time for which
// a leaving target still serves.
func (w *Withdrawal) Admission(now, drain time.Duration) Admission {
	switch {
	case w.leaving && now-w.leavingAt >= drain:
		return AdmitNone
	case now < w.pausedUntil:
		return AdmitPaused
	case w.leaving:
		return AdmitLastResort
	}
	return AdmitAll
}

// PauseLeft returns how long the target wants no requests, 0 if it isn't paused.
func (w *Withdrawal) PauseLeft(now time.Duration) time.Duration { return max(0, w.pausedUntil-now) }

// PausedWithin reports whether the target's last pause ended within the last d, or hasn't
// ended.
func (w *Withdrawal) PausedWithin(now, d time.Duration) bool {
	return w.pausedUntil > 0 && now-w.pausedUntil < d
}

// LeavingFor returns the time since the target said that it is leaving, and false if it
// hasn't.
func (w *Withdrawal) LeavingFor(now time.Duration) (time.Duration, bool) {
	return now - w.leavingAt, w.leaving
}

// Keep reports whether the withdrawal must be remembered although the target is no
// longer published, because it may be published again.
func (w *Withdrawal) Keep(now time.Duration) bool {
	return now < w.pausedUntil || (w.leaving && now-w.leavingAt < leavingRetention)
}
