package pimentotarget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// saying is one thing that a run of a target said, for the oracle.
type saying struct {
	run   Run
	at    time.Duration
	pause time.Duration // 0 means that the target said that it is leaving.
}

// expected returns the admission by all that the present run has said.
func expected(said []saying, run Run, now, drain time.Duration) Admission {
	a := AdmitAll
	for _, s := range said {
		if s.run != run {
			continue
		}
		switch {
		case s.pause == 0 && now-s.at >= drain:
			return AdmitNone
		case s.pause == 0 && a == AdmitAll:
			a = AdmitLastResort
		case s.pause > 0 && now < s.at+min(s.pause, MaxPause):
			a = AdmitPaused
		}
	}
	return a
}

// Runs of a target say that they leave or pause, and start again; earlier and unknown runs
// are published in between. The oracle keeps everything that was said.
func TestWithdrawalAgainstOracle(t *testing.T) {
	const drain = 2500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		var w Withdrawal
		var said []saying
		now, run := time.Duration(0), Run(1)
		w.SetRun(run)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				w.Leave(now)
				said = append(said, saying{run: run, at: now})
			case 1, 2:
				d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond
				if rapid.IntRange(0, 20).Draw(t, "absurd") == 0 {
					d = 1000 * time.Hour
				}
				w.Pause(now, d)
				said = append(said, saying{run: run, at: now, pause: d})
			case 3:
				run++
				w.SetRun(run)
			case 4:
				w.SetRun(Run(rapid.Uint64Range(0, uint64(run)).Draw(t, "old run")))
			}
			if got, want := w.Admission(now, drain), expected(said, run, now, drain); got != want {
				t.Fatalf("admission %d, want %d", got, want)
			}
			if (w.Admission(now, drain) != AdmitAll) && !w.Keep(now) && now < leavingRetention {
				t.Fatal("a withdrawal that holds isn't kept")
			}
		}
	})
}

// After a pause the target counts as just returned for a while, also if a refusal with a
// shorter time came in between.
func TestTargetReturnsSlowly(t *testing.T) {
	is := is.New(t)
	var w Withdrawal
	is.True(!w.PausedWithin(0, time.Second))
	w.Pause(0, 2*time.Second)
	w.Pause(time.Second, 100*time.Millisecond)
	is.Equal(w.PauseLeft(time.Second), time.Second)
	is.True(w.PausedWithin(2500*time.Millisecond, time.Second))
	is.True(!w.PausedWithin(3*time.Second, time.Second))
}

func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{20, 700} {
		list := make([]Withdrawal, n)
		for i := range list {
			if i%7 == 0 {
				list[i].Leave(0)
			}
		}
		b.Run(map[int]string{20: "20", 700: "700"}[n], func(b *testing.B) {
			b.ReportAllocs()
			admitted := 0
			for i := range b.N {
				if list[i%n].Admission(time.Second, time.Hour) == AdmitAll {
					admitted++
				}
			}
			if admitted < 0 {
				b.Fatal(admitted)
			}
		})
	}
}
