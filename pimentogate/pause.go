package pimentogate

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseClock detects that the machine was suspended, by comparing a clock that
// counts that time with one that doesn't.
type pauseClock struct {
	lastMonotonic time.Time
	lastBoot      time.Duration
}

func (p *pauseClock) start() {
	p.lastBoot = bootTime()
	p.lastMonotonic = time.Now()
}

// paused returns the time suspended since the last call, or since start.
func (p *pauseClock) paused() time.Duration {
	last := *p
	p.start()
	return (p.lastBoot - last.lastBoot) - p.lastMonotonic.Sub(last.lastMonotonic)
}

// suspended returns what paused does, and goes on counting.
func (p pauseClock) suspended() time.Duration { return p.paused() } // Of the copy.

// bootTime returns the time since the machine was started, suspended time included.
// It is 0 where the system has no such clock.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
