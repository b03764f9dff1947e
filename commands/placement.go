package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/arranger"
)

// placementTimeout limits a request for the explanation of a placement.
const placementTimeout = 10 * time.Second

var (
	errNoExplanation = errors.New("no explanation")
	errNotOwner      = errors.New("the entry is not the owner")
)

func newPlacement() command {
	sub := flaggy.NewSubcommand("placement")
	sub.Description = "tell where a job would be placed now on the platform, and why, without sending it"
	entry, queue, organisation, file := "", "", "", ""
	asJSON := false
	sub.String(&entry, "e", "entry", "HOST:PORT of the metrics of the owner's VM; any other VM names the owner")
	sub.String(&queue, "q", "queue", "name of the queue")
	sub.String(&organisation, "o", "organisation", "organisation whose job it would be")
	sub.String(&file, "f", "file", "file with the job as it would be submitted")
	sub.Bool(&asJSON, "j", "json", "print JSON")
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		if entry == "" || queue == "" || file == "" {
			return 0, fmt.Errorf("%w: --entry, --queue and --file are needed", errUsage)
		}
		job, err := os.ReadFile(file) //nolint:gosec // The caller names the file.
		if err != nil {
			return 0, fmt.Errorf("%w: read job: %w", errUsage, err)
		}
		ctx, cancel := context.WithTimeout(ctx, placementTimeout)
		defer cancel()
		e, err := requestPlacement(ctx, entry, queue, organisation, job)
		if err != nil {
			return 0, err
		}
		if asJSON {
			return ExitDone, c.printJSON(e)
		}
		c.showPlacement(e)
		return ExitDone, nil
	}}
}

// requestPlacement asks an entry where a job would be placed.
func requestPlacement(ctx context.Context, entry, queue, organisation string, job []byte) (arranger.Explanation, error) {
	target := url.URL{Scheme: "http", Host: entry, Path: "/placement", RawQuery: url.Values{"queue": {queue}, "organisation": {organisation}}.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(job))
	if err != nil {
		return arranger.Explanation{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return arranger.Explanation{}, fmt.Errorf("%w: %w", errNoExplanation, err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		arranger.Explanation

		Error string `json:"error"`
		Owner string `json:"owner"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	switch {
	case err != nil:
		return arranger.Explanation{}, fmt.Errorf("%w: status %d: %w", errNoExplanation, response.StatusCode, err)
	case response.StatusCode == http.StatusOK:
		return answer.Explanation, nil
	case response.StatusCode == http.StatusMisdirectedRequest && answer.Owner == "":
		return arranger.Explanation{}, fmt.Errorf("%w, and there is none at present", errNotOwner)
	case response.StatusCode == http.StatusMisdirectedRequest:
		return arranger.Explanation{}, fmt.Errorf("%w: ask %s", errNotOwner, answer.Owner)
	case response.StatusCode == http.StatusBadRequest || response.StatusCode == http.StatusRequestEntityTooLarge:
		return arranger.Explanation{}, fmt.Errorf("%w: %s", errUsage, answer.Error)
	default:
		return arranger.Explanation{}, fmt.Errorf("%w: status %d: %s", errNoExplanation, response.StatusCode, answer.Error)
	}
}

func (c console) showPlacement(e arranger.Explanation) {
	for _, s := range e.Steps {
		c.showStep(s)
	}
	x := e.Exclusions
	c.printf("workers %d, schedulable %d with %d free accelerators, cold %d; excluded: not reported %d, unreachable %d, draining %d, evacuated %d, orphan of unknown size %d, blocked %d, quarantined %d\n",
		x.Workers, x.Schedulable, x.SchedulableAccelerators, x.Cold, x.NotReported, x.Unreachable, x.Draining, x.Evacuated, x.OrphanOfUnknownSize, x.Blocked, x.Quarantined)
}

func (c console) showStep(s arranger.StepExplanation) {
	c.printf("step %d: %d of %d tasks placed", s.Step, s.Placed, s.Tasks)
	if s.Claimed {
		c.printf(" once runs have ended that use the capacity, %d of them preempted", s.Preempted)
	}
	c.printf("; %d waiting units precede it, rank %d, %s\n", s.Preceding, s.Rank, s.Lateness)
	for _, w := range s.Workers {
		c.printf("  worker %-20s rack %-12s zone %-10s speed %.2f tasks %d\n", w.Worker, w.Rack, w.Zone, w.Speed, w.Tasks)
	}
	if len(s.Racks) > 0 {
		c.printf("  racks %s\n", strings.Join(s.Racks, " "))
	}
	if s.Reason != "" {
		c.printf("  the others wait: %s", s.Reason)
		names := make([]string, 0, len(s.Details))
		for name := range s.Details {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			c.printf(" %s=%v", name, s.Details[name])
		}
		c.printf("\n")
	}
	if s.Estimate.Source != "" {
		c.printf("  run time on an average worker %dms, at most %dms in nine of ten cases, source %s, samples %d, age %dms\n",
			s.Estimate.MedianMillis, s.Estimate.HighMillis, s.Estimate.Source, s.Estimate.Samples, s.Estimate.AgeMillis)
	}
	if f := s.Forecast; f != nil {
		c.printf("  expected start %s, end %s, by %s in nine of ten cases, %.2f times the average run time\n",
			f.Start.Format("15:04:05.000"), f.End.Format("15:04:05.000"), f.HighEnd.Format("15:04:05.000"), f.Slowdown)
	}
}
