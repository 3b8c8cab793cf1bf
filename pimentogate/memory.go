package pimentogate

import (
	"bytes"
	"os"
	"runtime/metrics"
	"strconv"
)

const (
	// processStatus is where Linux states a process's memory, in KiB.
	processStatus = "/proc/self/status"
	// residentField and peakField are the names there of the resident memory and of its
	// highest value.
	residentField = "VmRSS"
	peakField     = "VmHWM"
	// heapMetric is the runtime's name for the bytes of the heap's objects, live ones and
	// those that weren't collected yet.
	heapMetric = "/memory/classes/heap/objects:bytes"
)

// addMemoryGauges registers the gauges of the process's memory.
func (m *gateMetrics) addMemoryGauges() {
	m.set.NewGauge("pimento_memory_resident_bytes", func() float64 { return processMemory(residentField) })
	m.set.NewGauge("pimento_memory_peak_bytes", func() float64 { return processMemory(peakField) })
	m.set.NewGauge("pimento_memory_heap_bytes", func() float64 {
		sample := []metrics.Sample{{Name: heapMetric}}
		metrics.Read(sample)
		return float64(sample[0].Value.Uint64())
	})
}

// processMemory returns a field of processStatus in bytes, -1 if it can't be read.
func processMemory(field string) float64 {
	data, err := os.ReadFile(processStatus)
	if err != nil {
		return -1
	}
	return parseMemory(data, field)
}

// parseMemory returns a field of the content of processStatus in bytes, -1 if there is none.
func parseMemory(status []byte, field string) float64 {
	for line := range bytes.SplitSeq(status, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if string(name) != field {
			continue
		}
		kib, err := strconv.ParseInt(string(bytes.TrimSpace(bytes.TrimSuffix(value, []byte("kB")))), 10, 64)
		if err != nil {
			return -1
		}
		return float64(kib << 10)
	}
	return -1
}
