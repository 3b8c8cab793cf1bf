package pimentoload_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentoarch/pimentoload"
)

// Bodies at twice the rate of the link: those that are admitted arrive in time, and the others are
// told when there is room.
func TestLinkAdmitsWhatArrivesInTime(t *testing.T) {
	const (
		rate  = 1_250_000.0 // 10 Mbit/s.
		size  = 60_000
		every = 24 * time.Millisecond // 2.5 MB a second.
		left  = time.Second
		work  = 100 * time.Millisecond
	)
	is := is.New(t)
	l := pimentoload.Link{Rate: rate}
	type body struct {
		came time.Duration
		rest float64
	}
	var arriving []body
	served, refused := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		if now%every == 0 {
			if wait, ok := l.Fits(now, size, left, work); ok {
				l.Receive(now, size)
				arriving = append(arriving, body{came: now, rest: size})
			} else {
				refused++
				is.True(wait > 0 && wait <= left)
			}
		}
		budget := rate / 1000
		for len(arriving) > 0 && budget > 0 {
			n := min(budget, arriving[0].rest)
			arriving[0].rest -= n
			budget -= n
			if arriving[0].rest <= 0 {
				is.True(now-arriving[0].came+work <= left) // Without the rule, bodies would be seconds late.
				arriving = arriving[1:]
				served++
			}
		}
	}
	is.True(served > 315) // Nearly all that may pass the link: 333.
	is.True(refused > 300)
}

// A caller that sends slowly keeps others out for no longer than its body needs on the link.
func TestLinkIgnoresSlowCallers(t *testing.T) {
	is := is.New(t)
	l := pimentoload.Link{Rate: 1_250_000}
	l.Receive(0, 1_000_000)
	wait, ok := l.Fits(0, 60_000, time.Second, 0)
	is.True(!ok)
	is.True(wait > 0)
	_, ok = l.Fits(wait+100*time.Millisecond, 60_000, time.Second, 0)
	is.True(ok)
}

// Without a rate nothing is refused or delayed.
func TestLinkWithoutRate(t *testing.T) {
	is := is.New(t)
	var l pimentoload.Link
	for range 1000 {
		_, ok := l.Fits(0, 1<<30, 0, time.Hour)
		is.True(ok)
		l.Receive(0, 1<<30)
		is.Equal(l.Send(time.Second, 1<<30), time.Second)
	}
}

// Two bodies are sent one after the other, and a later one at once when the link is free.
func TestLinkPacesBodies(t *testing.T) {
	is := is.New(t)
	l := pimentoload.Link{Rate: 1_250_000}
	is.Equal(l.Send(0, 100_000), time.Duration(0))
	is.Equal(l.Send(0, 100_000), 100*time.Millisecond)
	is.Equal(l.Send(time.Second, 100_000), time.Second)
	is.Equal(l.Send(time.Second, 100_000), 1100*time.Millisecond)
	l.Unsend(time.Second, 1100*time.Millisecond, 100_000)
	is.Equal(l.Send(time.Second, 100_000), 1100*time.Millisecond)
	l.Unsend(2*time.Second, time.Second, 100_000) // Its turn has passed.
	is.Equal(l.Send(1100*time.Millisecond, 100_000), 1200*time.Millisecond)
	l.Unsend(1250*time.Millisecond, 1200*time.Millisecond, 100_000) // Half of it has.
	is.Equal(l.Send(1250*time.Millisecond, 100_000), 1250*time.Millisecond)
}

// A near target that is in time comes before a far one that is faster, and a near one that isn't
// in time after a far one that is.
func TestBodyCost(t *testing.T) {
	is := is.New(t)
	const (
		size    = 60_000
		perByte = 30 * time.Microsecond
		left    = 3 * time.Second
		far     = 400 * time.Millisecond
	)
	score := far + pimentoload.BodyCost(size, perByte, left, far)
	is.True(2*time.Second < score)
	is.True(score < left)
	score = far + pimentoload.BodyCost(10*size, perByte, left, far)
	is.True(score <= left)
	is.Equal(pimentoload.BodyCost(size, perByte, time.Second, 2*time.Second), time.Duration(0))
}
