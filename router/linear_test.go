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

// edit is an operation on the document: a read where base is 0, else an edit of that version.
type edit struct{ base int64 }

// edited is what came of it: the version read or made, or whether it is stale or unknown.
type edited struct {
	version int64
	stale   bool
	unknown bool
}

// documentModel is a register that grows by one where the base matches.
var documentModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(1)} },
	Step: func(state, input, output any) []any {
		version, known := state.(int64)
		in, isEdit := input.(edit)
		out, isEdited := output.(edited)
		switch {
		case !known || !isEdit || !isEdited:
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
		case out.stale:
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

func TestHistoriesOfTheDocumentAreLinearizable(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withFleet(t, 3, 40+seed, func(t *testing.T, f *fleet) {
				var mu sync.Mutex
				var order atomic.Int64
				var history []porcupine.Operation
				record := func(client int, in edit, run func() edited) {
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
							f.table().Set(faker.Faults{LoseReplies: int(f.float() * 3), DelayMillis: int(f.float() * 50)})
							time.Sleep(time.Duration(f.float()*200) * time.Millisecond)
							v, _ := e.Document().Current()
							in := edit{base: v.Number}
							record(client, in, func() edited { return f.edit(e, in.base, fmt.Sprintf("%d-%d", client, i)) })
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

// edit changes the document and says what came of it.
func (f *fleet) edit(e *entry, base int64, id string) edited {
	text := strings.Replace(fleetDocument, `"queued":100,`, fmt.Sprintf(`"queued":%d,`, 101+base), 1)
	v, err := e.Document().Put(context.Background(), base, []byte(text), id, "test")
	switch {
	case err == nil:
		return edited{version: v.Number}
	case errors.Is(err, spreader.ErrVersionConflict):
		return edited{stale: true}
	default:
		return edited{unknown: true}
	}
}
