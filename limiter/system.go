package limiter

import (
	"bytes"
	"math"
	"os"
	"strconv"
	"syscall"
)

// Detect returns the given limits, with those of the VM and of the process in place of values of 0.
func Detect(memoryMB, openFiles int) Limits {
	l := Limits{MemoryBytes: min(int64(memoryMB), unlimitedMemory/mebibyte) * mebibyte, OpenFiles: openFiles}
	if l.MemoryBytes <= 0 {
		l.MemoryBytes = min(controlGroupMemory(), machineMemory())
	}
	var files syscall.Rlimit
	if l.OpenFiles <= 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
		l.OpenFiles = int(min(files.Cur, math.MaxInt32)) //nolint:gosec // The value is bounded.
	}
	return l
}

// unlimitedMemory stands for an unknown limit; no VM has as much.
const unlimitedMemory = 1 << 40

// controlGroupMemory returns the memory limit of the process's control group.
func controlGroupMemory() int64 {
	data, err := os.ReadFile("/sys/fs/cgroup/memory.max")
	if err != nil {
		return unlimitedMemory
	}
	limit, err := strconv.ParseInt(string(bytes.TrimSpace(data)), 10, 64)
	if err != nil || limit <= 0 {
		return unlimitedMemory
	}
	return limit
}

// machineMemory returns the memory of the VM: the line MemTotal of /proc/meminfo, which is in KB.
func machineMemory() int64 {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return unlimitedMemory
	}
	for line := range bytes.Lines(data) {
		fields := bytes.Fields(line)
		if len(fields) < 2 || string(fields[0]) != "MemTotal:" {
			continue
		}
		if kilobytes, err := strconv.ParseInt(string(fields[1]), 10, 64); err == nil {
			return kilobytes << 10
		}
	}
	return unlimitedMemory
}
