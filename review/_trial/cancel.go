package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lostShare of the writes of lossTime get no answer and are done lossDelay later: the doses of platform_lost, how late.
	lostShare = 0.35
	lossTime  = 2 * time.Second
	lossDelay = 6 * time.Second
	// cancelBound and contact are cancel_ms and contactMs of the settings.
	cancelBound = 3 * time.Second
	contact     = 3 * time.Second
)

// cancelled is a job whose cancelling was acknowledged.
type cancelled struct {
	answer answer
	at     time.Time
}

// playCancel hands in jobs while the store loses answers. A client that gets no answer, or one that leaves the outcome open, gives up and cancels
// its job, until that is acknowledged. No task of such a job may start later than cancelBound after that.
func playCancel(folder string, trouble bool) (int, error) {
	w, err := newWorld(folder, trouble, 8, 3, oneKind)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return notRun, err
	}
	var mu sync.Mutex
	acknowledged, submitted := map[string]cancelled{}, map[string]answer{}
	type start struct {
		job, task string
		at        time.Time
	}
	var starts []start
	w.fleet.onStart = func(_ *worker, r *run) { starts = append(starts, start{r.task[:16], r.task, time.Now()}) }

	begun := time.Now()
	calm := begun
	if w.trouble {
		random := rand.New(rand.NewPCG(1, 1))
		w.store.setLose(func(string) (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			return lossDelay, random.Float64() < lostShare
		})
		calm = begun.Add(lossTime + contact)
		w.record.line("the store loses the answers of %.2f of the writes for %s, and does these %s later", lostShare, lossTime, lossDelay)
		time.AfterFunc(lossTime, func() {
			w.store.setLose(nil)
			w.record.line("the store loses no more answers")
		})
	}
	var clients sync.WaitGroup
	const rounds, perRound, pause = 4, 24, 400 * time.Millisecond
	for round := range rounds {
		for i := range perRound {
			number := round*perRound + i
			id := fmt.Sprintf("%04x%012x", number*2654435761%65536, number)
			clients.Go(func() {
				e := w.entries[number%len(w.entries)]
				a := w.call(e, http.MethodPost, "/run/"+id, jobBody(need{Millis: 1000, CPU: 500, MemMB: 128}, 1, 1, ""))
				w.record.line("POST /run/%s at %s -> %s", id, e.name, a)
				mu.Lock()
				submitted[id] = a
				mu.Unlock()
				if a.status == http.StatusOK || a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
					return
				}
				for try := 0; ; try++ {
					e := w.entries[(number+try)%len(w.entries)]
					d := w.call(e, http.MethodDelete, "/run/"+id, "")
					w.record.line("DELETE /run/%s at %s -> %s", id, e.name, d)
					if d.status/100 == 2 || d.status == http.StatusGone {
						mu.Lock()
						acknowledged[id] = cancelled{d, time.Now()}
						mu.Unlock()
						return
					}
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		time.Sleep(pause)
	}
	clients.Wait()
	time.Sleep(time.Until(begun.Add(lossTime + lossDelay + 8*time.Second)))

	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.record.line("%d jobs handed in, %d cancelled after no answer", len(submitted), len(acknowledged))
	var late []string
	for _, s := range starts {
		c, ok := acknowledged[s.job]
		if ok && s.at.Sub(c.at) > cancelBound && s.at.After(calm) {
			late = append(late, fmt.Sprintf("%s: handed in -> %s, cancelled -> %s, started %.1f s after that, %.1f s after the end of the disruption",
				s.task, submitted[s.job], c.answer, s.at.Sub(c.at).Seconds(), s.at.Sub(calm.Add(-contact)).Seconds()))
		}
	}
	for id := range acknowledged {
		w.record.line("GET /run/%s -> %s", id, w.state(w.entries[0], "run", id))
	}
	if len(late) > 0 {
		w.record.line("UNASKED is broken for %d jobs:\n%s", len(late), strings.Join(late, "\n"))
		return broken, nil
	}
	w.record.line("held: no task of a cancelled job started later than %s after the acknowledgement", cancelBound)
	return held, nil
}
