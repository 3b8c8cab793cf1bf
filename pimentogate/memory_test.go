package pimentogate

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
)

// The metrics state the resident memory, its peak and the heap.
func TestMemoryMetrics(t *testing.T) {
	m := newGateMetrics()
	var out bytes.Buffer
	m.write(&out)
	values := make(map[string]float64)
	for line := range strings.Lines(out.String()) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		values[name], _ = strconv.ParseFloat(value, 64)
	}
	const least = 100 << 10
	resident, peak, heap := values["pimento_memory_resident_bytes"], values["pimento_memory_peak_bytes"], values["pimento_memory_heap_bytes"]
	if min(resident, peak, heap) < least {
		t.Errorf("resident %v, peak %v, heap %v: want at least %d each\n%s", resident, peak, heap, least, &out)
	}
}

func TestParseMemory(t *testing.T) {
	const status = "Name:\tgate\nVmHWM:\t  2048 kB\nVmRSS:\tnone\n"
	for field, want := range map[string]float64{peakField: 2 << 20, residentField: -1, "VmSize": -1} {
		if got := parseMemory([]byte(status), field); got != want {
			t.Errorf("%s: got %v, want %v", field, got, want)
		}
	}
}
