package pimentoentry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentolink"
	"pimentoarch/pimentopeer"
	"pimentoarch/pimentoregister"
)

// forwardHome forwards a request, before its body is read, to an entry of a home
// region of its organisation. If the organisation has no home regions, the request is
// here because this entry is stopping and issues no keys; it is then forwarded to
// another entry of the own region.
func (e *Entry) forwardHome(c *call) *refusal {
	if c.purpose != 0 {
		return refuse(ReasonHome, RunNo, "this entry isn't in a home region of the organisation")
	}
	regions := c.homeRegions
	if len(regions) == 0 {
		regions = []pimentoregister.RegionName{e.settings.Region}
	}
	var tried *pimentopeer.Peer
	for turn := range maxPeerAttempts {
		p := e.peers.inRegions(e.now(), regions, turn)
		if p == nil || p == tried {
			break
		}
		tried = p
		err := e.forward(c, p, pimentolink.PurposeHomeRegion)
		if err == nil {
			return nil
		}
		e.counters.retries[RetryPeer].Inc()
		if !isUnreachable(err) {
			return refuse(ReasonFailed, RunUnknown, "the link to an entry of a home region broke")
		}
	}
	return refuse(ReasonHome, RunNo, "no entry of a home region of the organisation was reached")
}

// forward sends the request to a peer and writes the peer's response to c.resp. A body
// that was not read before is streamed.
func (e *Entry) forward(c *call, p *pimentopeer.Peer, purpose pimentolink.Purpose) error {
	e.counters.forwarded.Inc()
	out := &pimentolink.OutgoingRequest{
		Purpose: purpose,
		Timeout: time.Until(c.deadline),
		Req:     fasthttp.AcquireRequest(),
		Resp:    fasthttp.AcquireResponse(),
	}
	c.req.Header.CopyTo(&out.Req.Header)
	switch {
	case c.body != nil:
		out.Req.SetBodyRaw(c.body.buf.B)
	case c.source != nil:
		out.Body = c.source
	}
	stop := context.AfterFunc(c.ctx, out.Cancel)
	defer stop()
	err := e.node.Forward(p.Address, out)
	fasthttp.ReleaseRequest(out.Req)
	if err != nil {
		fasthttp.ReleaseResponse(out.Resp)
		return err
	}
	moveResponse(c.resp, out.Resp)
	e.paceResponse(c, p.Region)
	return nil
}

// serveForwarded serves a request that a peer has forwarded.
func (e *Entry) serveForwarded(in *pimentolink.IncomingRequest) {
	e.counters.servedForPeers.Inc()
	// Counted until the response is sent, so that a planned stop waits for it. Until
	// e.serve returns, the request is counted twice.
	e.running.Add(1)
	defer e.running.Add(-1)
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	go func() {
		select {
		case <-in.Cancelled:
			cancel()
		case <-ctx.Done():
		}
	}()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c := &call{
		purpose:  in.Purpose,
		deadline: in.Deadline,
		req:      in.Req,
		source:   in.Body,
		memory:   e.memory,
		resp:     resp,
		ctx:      ctx,
	}
	e.serve(c)
	_ = in.Respond(resp)
}
