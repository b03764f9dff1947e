package explainer

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// contextMessages are the messages about owners, the store, the configuration and evacuations, which affect every job.
var contextMessages = map[string]bool{
	"lease taken": true, "lease lost": true, "lease given up": true, "lease released": true, "state loaded": true,
	"store does not answer": true, "store answers again": true, "configuration in force": true,
	"process started": true, "process draining": true, "process stopped": true, "log lines dropped": true,
	"workers excluded from planning":            true,
	"evacuation of an availability zone begins": true, "evacuation of an availability zone ends": true,
	"evacuation of an unknown availability zone begins": true,
	"no starts: evacuated zones not known":              true, "starts are sent again: evacuated zones known": true,
	"no plans: lease not renewed in time": true, "plans are made again: lease renewed": true,
	"plans are late": true, "plans are on time again": true, "plans are slow": true, "plans are fast again": true,
}

// line is a parsed log line.
type line struct {
	at     time.Time
	fields map[string]any
	// aboutJob is set for a line about the job; the others have a context message.
	aboutJob bool
}

// Explain writes the lines about a job in order of time, and between the first and the last of them also the
// lines with a context message. It returns the number of lines about the job.
func Explain(logs []io.Reader, job string, out io.Writer) (int, error) {
	var lines []line
	for _, log := range logs {
		parsed, err := readLog(log, job)
		if err != nil {
			return 0, err
		}
		lines = append(lines, parsed...)
	}
	slices.SortStableFunc(lines, func(x, y line) int { return x.at.Compare(y.at) })
	first := slices.IndexFunc(lines, func(l line) bool { return l.aboutJob })
	if first < 0 {
		return 0, nil
	}
	last := first
	count := 0
	for i, l := range lines {
		if l.aboutJob {
			last = i
			count++
		}
	}
	for _, l := range lines[first : last+1] {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return count, fmt.Errorf("write explanation: %w", err)
		}
	}
	return count, nil
}

func readLog(log io.Reader, job string) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		// A log collector puts its own time and name before the JSON object.
		_, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		l := line{}
		decoder := json.NewDecoder(strings.NewReader("{" + text))
		decoder.UseNumber()
		if decoder.Decode(&l.fields) != nil {
			continue
		}
		l.aboutJob = mentions(l.fields, job)
		message, _ := l.fields["msg"].(string)
		if !l.aboutJob && !contextMessages[message] {
			continue
		}
		timestamp, _ := l.fields["time"].(string)
		at, err := time.Parse(time.RFC3339Nano, timestamp)
		if err != nil {
			continue
		}
		l.at = at
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// mentions reports whether a line is about the job, one of its tasks, or a run preempted for it.
func mentions(fields map[string]any, job string) bool {
	task, _ := fields["task"].(string)
	return fields["job"] == job || fields["for"] == job || strings.HasPrefix(task, job+".")
}

// String formats the line: time of day, node, message, then the other fields sorted by name.
func (l line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %-22v %v", l.at.Format("15:04:05.000"), l.fields["node"], l.fields["msg"])
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if name != "time" && name != "node" && name != "msg" && name != "level" {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	for _, name := range names {
		if value := l.fields[name]; value != "" {
			fmt.Fprintf(&text, " %s=%v", name, value)
		}
	}
	return text.String()
}
