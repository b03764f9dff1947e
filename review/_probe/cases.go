package main

import (
	"fmt"
	"os"
	"time"
)

// reclaim is the time within which guaranteed work has to begin, reclaimMs of the settings.
const reclaim = 2900 * time.Millisecond

// awaitBegun waits until all tasks of the job's first step have begun, for the given time, and returns how many have and when the last one did.
func (w *world) awaitBegun(j job, patience time.Duration) (int, time.Time) {
	deadline := time.Now().Add(patience)
	for {
		begun := w.fleet.begun(j.ID, 0)
		var last time.Time
		for _, at := range begun {
			if at.After(last) {
				last = at
			}
		}
		if len(begun) >= j.Steps[0].Count || time.Now().After(deadline) {
			return len(begun), last
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// judgeReclaim hands in a job within its tenant's guarantee and checks RECLAIM; it looks on for the given time to tell late from never.
func (w *world) judgeReclaim(queue, tenant string, j job, patience time.Duration) (bool, error) {
	acknowledged, err := w.submit(queue, tenant, j)
	if err != nil {
		return false, err
	}
	begun, last := w.awaitBegun(j, patience)
	w.record.say("state shown after %.1f s: %s", time.Since(acknowledged).Seconds(), w.state(0, queue, tenant, j.ID))
	if begun < j.Steps[0].Count {
		w.record.say("%d of %d tasks of the first step of %s have begun %.1f s after its acknowledgement, the bound is %.1f s",
			begun, j.Steps[0].Count, j.ID, time.Since(acknowledged).Seconds(), reclaim.Seconds())
		return false, nil
	}
	w.record.say("all %d tasks of the first step of %s have begun %.2f s after its acknowledgement, the bound is %.1f s",
		begun, j.ID, last.Sub(acknowledged).Seconds(), reclaim.Seconds())
	return last.Sub(acknowledged) <= reclaim, nil
}

func parallel(r *recorder, trouble bool) (bool, error) {
	w, err := newWorld(r, []tenant{{"unions", 28}, {"county", 28}}, []route{{"lookup", 0, 3}, {"weighting", 1, 4}}, 3, 12, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		// Each step needs no more than the guarantee of 28 accelerators, the job needs 96.
		large := job{ID: "aaaaaaaaaaaaaa01", Work: 8 * time.Second}
		for range 4 {
			large.Steps = append(large.Steps, step{Count: 3, CPU: 3700, MemoryMB: 7600, GPU: 8, EstimateMs: 8000, Persistent: true})
		}
		if _, err := w.submit("lookup", "county", large); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
		r.say("runs of the large job: %d", len(w.fleet.runsOf(large.ID)))
	}
	small := job{ID: "bbbbbbbbbbbbbb01", Work: 2500 * time.Millisecond, Steps: []step{{Count: 3, CPU: 3700, MemoryMB: 7600, GPU: 8, EstimateMs: 2500}}}
	return w.judgeReclaim("lookup", "unions", small, 40*time.Second)
}

func cpuOnly(r *recorder, trouble bool) (bool, error) {
	w, err := newWorld(r, []tenant{{"unions", 56}, {"county", 0}}, []route{{"lookup", 0, 3}, {"weighting", 1, 4}}, 3, 12, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		large := job{ID: "aaaaaaaaaaaaaa02", Work: 8 * time.Second, Steps: []step{{Count: 24, CPU: 15000, MemoryMB: 7600, EstimateMs: 8000, Persistent: true}}}
		if _, err := w.submit("lookup", "county", large); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
		r.say("runs of the large job: %d", len(w.fleet.runsOf(large.ID)))
	}
	small := job{ID: "bbbbbbbbbbbbbb02", Work: 2500 * time.Millisecond, Steps: []step{{Count: 3, CPU: 3700, MemoryMB: 7600, GPU: 8, EstimateMs: 2500}}}
	return w.judgeReclaim("lookup", "unions", small, 40*time.Second)
}

func fills(r *recorder, trouble bool) (bool, error) {
	w, err := newWorld(r, []tenant{{"unions", 28}, {"county", 28}}, []route{{"lookup", 0, 3}, {"weighting", 1, 4}}, 3, 12, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		large := job{ID: "aaaaaaaaaaaaaa03", Work: 8 * time.Second, Steps: []step{{Count: 12, CPU: 4000, MemoryMB: 2000, MaxPerServer: 1, EstimateMs: 8000, Persistent: true, Fills: true, Image: "fill"}}}
		if _, err := w.submit("weighting", "county", large); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
		r.say("runs of the job that fills: %d", len(w.fleet.runsOf(large.ID)))
	}
	small := job{ID: "bbbbbbbbbbbbbb03", Work: 2500 * time.Millisecond, Steps: []step{{Count: 3, CPU: 3700, MemoryMB: 7600, GPU: 1, EstimateMs: 2500, Persistent: true, Image: "serve", TargetMs: 100}}}
	return w.judgeReclaim("lookup", "unions", small, 40*time.Second)
}

func crashes(r *recorder, trouble bool) (bool, error) {
	w, err := newWorld(r, []tenant{{"unions", 28}, {"county", 28}}, []route{{"lookup", 0, 3}, {"weighting", 1, 4}}, 3, 8, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	// Only the first worker is in the rack that the job requires.
	faulty := w.fleet.workers[0]
	j := job{ID: "dddddddddddddd01", Work: 8500 * time.Millisecond, Steps: []step{{Count: 1, CPU: 13000, MemoryMB: 34000, GPU: 8, EstimateMs: 8500, Requires: faulty.rack}}}
	acknowledged, err := w.submit("weighting", "unions", j)
	if err != nil {
		return false, err
	}
	crashed := 0
	state := ""
	next := time.Now().Add(3 * time.Second)
	for time.Since(acknowledged) < 60*time.Second {
		time.Sleep(100 * time.Millisecond)
		if trouble && crashed < 3 && time.Now().After(next) {
			crashed++
			faulty.crash(4 * time.Second)
			next = next.Add(8 * time.Second)
		}
		if now := w.state(crashed, "weighting", "unions", j.ID); now != state {
			state = now
			r.say("%.1f s after the acknowledgement, %d crashes: state %s", time.Since(acknowledged).Seconds(), crashed, state)
		}
		if state == "succeeded" || state == "failed" {
			break
		}
	}
	r.say("runs: %d started, %d done, %d lost with their worker; %d ended as failed", w.fleet.count(j.ID, "start"), w.fleet.count(j.ID, "done"), w.fleet.count(j.ID, "lost"), w.fleet.count(j.ID, "failed"))
	return state == "succeeded", nil
}

func renamed(r *recorder, trouble bool) (bool, error) {
	tenants := []tenant{{"unions", 28}, {"county", 28}}
	w, err := newWorld(r, tenants, []route{{"lookup", 0, 3}, {"weighting", 1, 4}}, 3, 8, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	j := job{ID: "eeeeeeeeeeeeee01", Work: 8500 * time.Millisecond, Steps: []step{{Count: 2, CPU: 13000, MemoryMB: 34000, GPU: 8, EstimateMs: 8500}}}
	if _, err := w.submit("weighting", "unions", j); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		w.configureNamed(9, tenants, []route{{"lookup", 0, 3}, {"weighting", 1, 4}}, "n-")
	}
	time.Sleep(5 * time.Second)
	held := true
	for i := range w.entries {
		state := w.state(i, "weighting", "unions", j.ID)
		r.say("%s shows: %s", w.entries[i].name, state)
		held = held && (state == "running" || state == "succeeded")
	}
	status, answer, err := w.call(0, "DELETE", "weighting", j.ID, "unions", nil)
	r.say("DELETE: %d %s %v", status, answer, err)
	time.Sleep(4 * time.Second)
	r.say("runs 4 s after the cancel: %d", len(w.fleet.runsOf(j.ID)))
	return held, nil
}

func wide(r *recorder, trouble bool) (bool, error) {
	w, err := newWorld(r, []tenant{{"unions", 28}, {"county", 28}}, []route{{"lookup", 0, 3}, {"weighting", 1, 4}}, 3, 12, 4)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return false, err
	}
	var steps, jobs, count int
	fmt.Sscanf(os.Getenv("DOSE"), "%d,%d,%d", &jobs, &steps, &count)
	for i := range jobs {
		large := job{ID: fmt.Sprintf("ffffffffffffff%02d", i), Work: 8 * time.Second}
		for range steps {
			large.Steps = append(large.Steps, step{Count: count, CPU: 2800, MemoryMB: 7400, GPU: 1, EstimateMs: 8000})
		}
		if _, err := w.submit("weighting", "county", large); err != nil {
			return false, err
		}
	}
	small := job{ID: "bbbbbbbbbbbbbb09", Work: 2500 * time.Millisecond, Steps: []step{{Count: 3, CPU: 3700, MemoryMB: 7600, GPU: 1, EstimateMs: 2500}}}
	return w.judgeReclaim("lookup", "unions", small, 20*time.Second)
}
