package main

import (
	"encoding/json"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// closedWithin is the time within which gates notice that targets have closed their idle
// connections.
const closedWithin = 6 * time.Second

// checkOpenConns closes all connections at the targets, while no request runs, and checks
// that no gate goes on to count one as open.
func (s *soak) checkOpenConns() {
	time.Sleep(time.Second) // Until the last probes and crash checks have ended.
	for _, tg := range s.targets {
		tg.Reset()
	}
	deadline := time.Now().Add(closedWithin)
	for _, g := range s.gates {
		n := s.openConns(g)
		for n != 0 && time.Now().Before(deadline) {
			time.Sleep(100 * time.Millisecond)
			n = s.openConns(g)
		}
		if n != 0 {
			s.t.Errorf("gate %s counts %d connections to targets as open, and none is", g.name, n)
		}
	}
}

// openConnsMetric is the gauge of connections to targets.
var openConnsMetric = regexp.MustCompile(`(?m)^pimento_targets_open (\d+)$`)

// openConns returns the number of connections to targets that a gate counts as open.
func (s *soak) openConns(g *soakGate) int {
	var settings struct {
		Admin string `json:"admin"`
	}
	data, err := os.ReadFile(g.settingsFile)
	if err == nil {
		err = json.Unmarshal(data, &settings)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	_, body, err := fasthttp.GetTimeout(nil, "http://"+settings.Admin+"/metrics", time.Second)
	if err != nil {
		s.t.Errorf("metrics of gate %s: %v", g.name, err)
		return 0
	}
	m := openConnsMetric.FindSubmatch(body)
	if m == nil {
		s.t.Errorf("metrics of gate %s have no %v", g.name, openConnsMetric)
		return 0
	}
	n, err := strconv.Atoi(string(m[1]))
	if err != nil {
		s.t.Error(err)
	}
	return n
}
