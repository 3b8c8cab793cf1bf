package pimentoentry

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"

	"pimentoarch/pimentokey"
	"pimentoarch/pimentoregister"
)

// mayIssueKeys reports whether this entry may issue keys for the call: its region must
// be allowed for the organisation, and it must not be stopping.
func (e *Entry) mayIssueKeys(c *call) bool {
	return c.view.Allows(c.org, e.settings.Region) && !e.stopping.Load()
}

// addKeys adds unused keys to the response on a non-idempotent route.
func (e *Entry) addKeys(c *call) {
	if len(c.resp.Header.Peek(headerKeys)) > 0 || !e.mayIssueKeys(c) {
		return
	}
	c.resp.Header.SetBytesV(headerKeys, joinKeys(e.keys.issue(c.scope(), keysPerResponse)))
}

// joinKeys returns the keys as a list separated by commas.
func joinKeys(keys []pimentokey.Key) []byte {
	var list []byte
	for i, k := range keys {
		if i > 0 {
			list = append(list, ',')
		}
		list = k.Append(list)
	}
	return list
}

// issueKeys serves POST /.pimento/keys, which returns n keys for a service.
func (e *Entry) issueKeys(c *call) *refusal {
	c.view = e.store.View()
	if c.view.Revision == 0 {
		return refuse(ReasonConfig, RunNo, "no configuration is known yet")
	}
	var args fasthttp.Args
	_, query, _ := bytes.Cut(c.req.Header.RequestURI(), []byte{'?'})
	args.ParseBytes(query)
	c.info = c.view.Service(pimentoregister.ServiceName(args.Peek("service")))
	if c.info == nil {
		return refuse(ReasonService, RunNo, "query service: the register has no such service")
	}
	n, err := strconv.Atoi(string(args.Peek("n")))
	if err != nil || n < 1 || n > maxKeysPerCall {
		return refuse(ReasonHead, RunNo, "query n: a number from 1 to "+strconv.Itoa(maxKeysPerCall)+" is required")
	}
	if f := c.setLimits(); f != nil {
		return f
	}
	if !e.mayIssueKeys(c) {
		return e.forwardHome(c)
	}
	c.resp.Header.SetBytesV(headerKeys, joinKeys(e.keys.issue(c.scope(), n)))
	c.resp.SetStatusCode(fasthttp.StatusOK)
	return nil
}
