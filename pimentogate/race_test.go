package pimentogate

import (
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentoroute"
)

// newRaceCall returns a call of a gate with pipeTargets, and candidates without a connection.
func newRaceCall(g *Gate, n int) (*call, []*candidate) {
	var req fasthttp.Request
	req.SetRequestURI("/x")
	req.Header.SetHost("h")
	req.Header.Set("X-Id", "r1")
	c := newCall(&req, &g.dialect, "10.9.0.1", time.Now())
	c.table = g.table.Load()
	c.setRoute(c.table.Config.Routes[0])
	c.service = c.table.Config.Services["s"]
	var list []*candidate
	for i := range n {
		tg := &pimentoroute.Target{ID: pimentoroute.TargetID(fmt.Sprint("i-", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:7", i+1)}
		list = append(list, &candidate{target: tg, expected: time.Second})
	}
	return c, list
}

// A send that still waits for its connection when the race ends isn't made, and its
// connection is closed, whether the race has a result or not.
func TestSendIsNotMadeAfterTheRace(t *testing.T) {
	for _, decided := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g, cleanup := pipeGate(t, []*pipeTarget{{id: "i-0"}})
			defer cleanup()
			near, far := net.Pipe()
			g.client.Dial = func(string, time.Duration) (net.Conn, error) {
				time.Sleep(100 * time.Millisecond)
				return near, nil
			}
			c, candidates := newRaceCall(g, 1)
			r, end := g.newRace(c, candidates[0])
			r.launch(candidates[0])
			if decided {
				r.result = r.giveUp(outcomeTimeout)
			}
			end()
			received := make(chan int64, 1)
			go func() {
				n, _ := io.Copy(io.Discard, far)
				received <- n
			}()
			time.Sleep(time.Second)
			if n := g.client.OpenConns(); n != 0 {
				t.Errorf("decided %v: %d connections are open, want none", decided, n)
			}
			_ = near.Close()
			if n := <-received; n > 0 {
				t.Errorf("decided %v: the target got %d bytes of a request that had ended", decided, n)
			}
			synctest.Wait()
		})
	}
}

// A streamed failure of an earlier attempt, which is forwarded if no later one succeeds, is
// whole although a later race ended with a send that still ran.
func TestEarlierFailureOutlivesLaterRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []*pipeTarget{
			{id: "i-0", probes: []behaviour{{}}, requests: []behaviour{{Reply: replyLargeFailed}}},
			{id: "i-1", probes: []behaviour{{}}, requests: []behaviour{{Reply: replyNever}}},
		}
		g, cleanup := pipeGate(t, targets)
		defer cleanup()
		c, candidates := newRaceCall(g, 2)
		failed := g.sendHedged(c, candidates[0])
		r, end := g.newRace(c, candidates[1])
		r.launch(candidates[1])
		time.Sleep(10 * time.Millisecond)
		r.result = r.giveUp(outcomeTimeout)
		end()
		n, err := io.Copy(io.Discard, failed.exchange.Resp.BodyStream())
		if failed.outcome != outcomeFailed || n != maxBufferedResponse+1 || err != nil {
			t.Errorf("outcome %v, %d bytes, %v: want %v, %d bytes", failed.outcome, n, err, outcomeFailed, maxBufferedResponse+1)
		}
		failed.close()
		time.Sleep(time.Second)
		for _, tg := range targets {
			tg.closeAll()
		}
		g.client.CloseAllIdle()
		synctest.Wait()
	})
}
