package pimentogate

import (
	"time"

	"golang.org/x/sys/unix"
)

// pauseClock finds out that the machine was suspended: one clock counts that
// time and the other doesn't.
type pauseClock struct {
	began time.Time
	boot  time.Duration
}

func (p *pauseClock) start() {
	p.began = time.Now()
	p.boot = bootTime()
}

// paused returns the time suspended since the last call, or since start.
func (p *pauseClock) paused() time.Duration {
	boot := bootTime()
	now := time.Now()
	lost := (boot - p.boot) - now.Sub(p.began)
	p.boot, p.began = boot, now
	return lost
}

// bootTime is the time since the machine has started, suspended time included.
// It is 0 where the system has no such clock.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
