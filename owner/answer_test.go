package owner

import (
	"fmt"
	"testing"

	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/scheduler"
)

func TestTheAnswerCacheIsBoundedInBytes(t *testing.T) {
	c := newAnswerCache(answerCacheBytes)
	for i := range 1000 {
		answer := recorder.Answer{Job: scheduler.Job{ID: fmt.Sprint(i)}, Result: make([]byte, recorder.MaxInlineResult)}
		c.put(answer)
		c.put(answer)
	}
	held := 0
	for _, answer := range c.byID {
		held += cachedBytes(answer)
	}
	if held > answerCacheBytes || held != c.bytes || len(c.byID) != len(c.order) {
		t.Fatalf("cache holds %d bytes (counts %d) in %d answers, want at most %d bytes", held, c.bytes, len(c.byID), answerCacheBytes)
	}
	if _, ok := c.get("999"); !ok {
		t.Fatal("the newest answer was evicted")
	}
}
