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
	p.lastMonotonic = time.Now()
	p.lastBoot = bootTime()
}

// paused returns the time suspended since the last call, or since start.
func (p *pauseClock) paused() time.Duration {
	boot := bootTime()
	now := time.Now()
	suspended := (boot - p.lastBoot) - now.Sub(p.lastMonotonic)
	p.lastBoot, p.lastMonotonic = boot, now
	return suspended
}

// bootTime returns the time since the machine was started, suspended time included.
// It is 0 where the system has no such clock.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
