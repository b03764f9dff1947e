package counter

import (
	"bytes"
	"os"
	"strconv"
	"syscall"

	"github.com/rcrowley/go-metrics"
)

// RegisterProcess registers the gauges process.cpuSeconds and process.residentBytes, which are evaluated on each read of the metrics.
func RegisterProcess(registry metrics.Registry) {
	_ = registry.Register("process.cpuSeconds", metrics.NewFunctionalGaugeFloat64(cpuSeconds))
	_ = registry.Register("process.residentBytes", metrics.NewFunctionalGauge(residentBytes))
}

// cpuSeconds returns the user and system CPU time of the process.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	const micro = 1e-6
	seconds := usage.Utime.Sec + usage.Stime.Sec
	return float64(seconds) + micro*float64(usage.Utime.Usec+usage.Stime.Usec)
}

// residentBytes returns the resident set size of the process: the second field of /proc/self/statm, which is in pages.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
