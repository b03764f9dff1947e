package router

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/spreader"
)

// edit is the input of an operation on the document: a read if base is 0, or else an edit of version base.
type edit struct{ base int64 }

// editResult is the output of an operation: the version read or written, a version conflict, or an unknown outcome.
type editResult struct {
	version  int64
	conflict bool
	unknown  bool
}

// documentModel is a register that an edit increments by 1 if its base is the current version.
var documentModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} },
	Step: func(state, input, output any) []any {
		version, known := state.(int64)
		in, isEdit := input.(edit)
		out, isResult := output.(editResult)
		switch {
		case !known || !isEdit || !isResult:
			return nil
		case in.base == 0:
			if out.version == version {
				return []any{version}
			}
			return nil
		case out.unknown:
			if in.base == version {
				return []any{version, version + 1}
			}
			return []any{version}
		case out.conflict:
			if in.base != version {
				return []any{version}
			}
			return nil
		default:
			if in.base == version && out.version == version+1 {
				return []any{version + 1}
			}
			return nil
		}
	},
}

func TestDocumentHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withFleet(t, 3, 40+seed, func(t *testing.T, f *fleet) {
				var mu sync.Mutex
				var order atomic.Int64
				var history []porcupine.Operation
				record := func(client int, in edit, run func() editResult) {
					call := order.Add(1)
					out := run()
					mu.Lock()
					defer mu.Unlock()
					history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: order.Add(1)})
				}
				var group sync.WaitGroup
				for client, e := range f.entries {
					group.Go(func() {
						for i := range 12 {
							f.table().SetFaults(faker.Faults{LoseReplies: int(f.float() * 3), DelayMillis: int(f.float() * 50)})
							time.Sleep(time.Duration(f.float()*200) * time.Millisecond)
							v, _ := e.Document().Current()
							in := edit{base: v.Number}
							record(client, in, func() editResult { return f.edit(e, in.base, fmt.Sprintf("%d-%d", client, i)) })
						}
					})
				}
				group.Wait()
				if !porcupine.CheckOperations(documentModel.ToModel(), history) {
					t.Fatalf("history is not linearizable: %+v", history)
				}
			})
		})
	}
}

// edit edits the document and returns the result.
func (f *fleet) edit(e *entry, base int64, id string) editResult {
	text := strings.Replace(fleetDocument, `"queued":100,`, fmt.Sprintf(`"queued":%d,`, 101+base), 1)
	v, err := e.Document().Put(context.Background(), base, []byte(text), id, "test")
	switch {
	case err == nil:
		return editResult{version: v.Number}
	case errors.Is(err, spreader.ErrVersionConflict):
		return editResult{conflict: true}
	default:
		return editResult{unknown: true}
	}
}
