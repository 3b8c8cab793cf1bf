package pimentoquota

import "time"

// Limit is the limit of one organisation over all entries: Rate requests per second, and
// Burst more at once. A Rate of 0 means no limit.
type Limit struct{ Rate, Burst float64 }

// Bounds state how far the requests of all entries may exceed a limit in any window:
// (Rate x Window + Burst) x (1 + Overshoot) + Slack may run. The zero value allows nothing
// beyond Rate and Burst, in windows of DefaultWindow.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// DefaultWindow is the window of bounds that state none.
const DefaultWindow = 5 * time.Second

const (
	// lifeFraction is the fraction of what may run beyond Rate x Window that tokens are
	// stored up to. The rest is for the time between the choice of a target and the
	// arrival there, and for entries that aren't counted yet.
	lifeFraction = 0.8
	// startFraction is the fraction of what may run beyond Rate x Window that the entries of
	// a fleet may have at their start, before they have minted any. With lifeFraction it
	// stays below 1 when all entries start three times in a window and a life.
	startFraction = 0.05
	// minLife is the least time for which a token lives, so that it can be handed on at
	// all. It applies to bounds without overshoot.
	minLife = 250 * time.Millisecond
	// maxLife bounds the life of tokens of very low rates.
	maxLife = time.Hour
)

// Life returns how long a token of a limit may be used after it was minted.
func (b Bounds) Life(l Limit) time.Duration {
	life := min(lifeFraction*b.beyond(l)/l.Rate, maxLife.Seconds())
	return max(minLife, time.Duration(life*float64(time.Second)))
}

// beyond returns how many requests may run in a window beyond Rate x Window.
func (b Bounds) beyond(l Limit) float64 {
	window := b.Window
	if window <= 0 {
		window = DefaultWindow
	}
	return b.Overshoot*window.Seconds()*l.Rate + (1+b.Overshoot)*l.Burst + b.Slack
}

// headStart returns the time before its start from which on an entry mints. It answers the
// return of all callers after the start of all entries, which hold nothing then.
func (b Bounds) headStart(l Limit) time.Duration {
	start := min(startFraction*b.beyond(l)/l.Rate, maxLife.Seconds())
	return time.Duration(start * float64(time.Second))
}

// Most returns how many requests may run in a window of the given length.
func (b Bounds) Most(l Limit, window time.Duration) float64 {
	return (l.Rate*window.Seconds()+l.Burst)*(1+b.Overshoot) + b.Slack
}
