package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime ends a case that takes too long.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(w *world, trouble bool) int{
		"restart": restartCase, "ends": endsCase, "takeover": takeoverCase, "cancel": cancelCase, "grey": greyCase, "lasting": lastingCase, "replicas": replicasCase, "blame": blameCase,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %t", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		fatal("interrupted or out of time")
	}()
	code := play(w, trouble)
	w.note("verdict: %d (1 means that the rule was broken)", code)
	cleanUp()
	os.Exit(code)
}

// verdictOf returns the exit code for a number of broken checks.
func verdictOf(broken int) int {
	if broken > 0 {
		return 1
	}
	return 0
}

// restartCase: a worker crashes, is silent for a moment and starts again under the id that it had.
func restartCase(w *world, trouble bool) int {
	const crashes, silence, pause = 14, 400 * time.Millisecond, 5 * time.Second
	w.configure(4)
	w.addWorkers(8, 32000, 65536, 8)
	w.addEntries(3)
	w.ready()
	stop := make(chan struct{})
	go func() {
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			j := w.newJob(n, n%3, 4, taskSpec{CPU: 3700, MemMB: 7600, GPU: 1, work: 1500 * time.Millisecond})
			go w.submit(j)
		}
	}()
	time.Sleep(4 * time.Second)
	for i := range crashes {
		if trouble {
			victim := w.workers[i%len(w.workers)]
			victim.crash()
			time.Sleep(silence)
			victim.restart(victim.id)
		}
		time.Sleep(pause)
	}
	close(stop)
	time.Sleep(6 * time.Second)
	return verdictOf(w.judge.verdict())
}

// await waits until a run of the job has worked for some time, and returns its worker.
func (w *world) await(id string, worked, limit time.Duration) *worker {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, wk := range w.workers {
			wk.mu.Lock()
			found := false
			for _, r := range wk.runs {
				found = found || r.task[:16] == id && !wk.dark && time.Since(r.started) >= worked
			}
			wk.mu.Unlock()
			if found {
				return wk
			}
		}
	}
	return nil
}

// endsCase: the store is down while more runs end on a worker than one response lists.
func endsCase(w *world, trouble bool) int {
	const tasks, before, outage = 6000, 1000, 4500 * time.Millisecond
	w.configure(4)
	w.addWorkers(4, 32000, 65536, 8)
	for _, wk := range w.workers {
		wk.setSlots(64)
	}
	w.addEntries(3)
	w.ready()
	j := w.newJob(1, 1, tasks, taskSpec{CPU: 500, MemMB: 512, work: 250 * time.Millisecond})
	if !w.submit(j) {
		fatal("job not accepted")
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		w.judge.mu.Lock()
		started := w.judge.started
		w.judge.mu.Unlock()
		if started >= before {
			break
		}
	}
	if trouble {
		w.note("store is silent")
		w.store.setSilent(true)
		time.Sleep(outage)
		w.store.setSilent(false)
		w.note("store answers again")
	}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if w.state(j) == "succeeded" {
			w.note("job %s is shown as succeeded", j.id)
			break
		}
	}
	time.Sleep(2 * time.Second)
	return verdictOf(w.judge.verdict())
}
