package spreader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/storer"
)

var (
	// ErrVersionConflict means that the document has changed since the edited version; nothing was changed.
	ErrVersionConflict = errors.New("document has changed meanwhile")
	// ErrNoDocument means that no document is known yet.
	ErrNoDocument = errors.New("no document is known yet")

	errUnchanged = errors.New("the version in force is the latest")
)

const (
	// pollPause is the time between looks at the table.
	pollPause = 3 * time.Second
	// MaxStaleness is how long a version stays trusted without confirmation by the table or another entry.
	MaxStaleness = 15 * time.Second
)

// Version is an accepted document; versions start at 1 and grow by 1.
type Version struct {
	Number   int64
	Document documenter.Document
	Text     json.RawMessage
}

// Edit is one line of the document's history.
type Edit struct {
	Version int64           `json:"version"`
	At      time.Time       `json:"at"`
	By      string          `json:"by,omitempty"`
	Text    json.RawMessage `json:"text,omitempty"`
}

// stored is the row of the document in force.
type stored struct {
	By   string          `json:"by,omitempty"`
	At   time.Time       `json:"at"`
	Text json.RawMessage `json:"text"`
}

// Options configure a Spreader.
type Options struct {
	Table  storer.Table
	Random func() float64
	Logger *slog.Logger
	// OnChange is called in order for each version that comes into force.
	OnChange func(v Version)
	// FetchLatest returns the latest version that a reachable entry knows, or ErrNoDocument.
	FetchLatest func(ctx context.Context) (Version, error)
	// Broadcast sends a version to all other entries, without waiting for them.
	Broadcast func(v Version)
}

// Spreader holds the version in force on this entry.
type Spreader struct {
	options Options

	mu          sync.Mutex
	current     Version
	confirmedAt time.Time
	tableAt     time.Time
}

// New returns a spreader that knows no document until Run finds one.
func New(options Options) *Spreader { return &Spreader{options: options} }

// Current returns the version in force, or ErrNoDocument.
func (s *Spreader) Current() (Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Number == 0 {
		return Version{}, ErrNoDocument
	}
	return s.current, nil
}

// Fresh reports whether the version in force was confirmed within the bound.
func (s *Spreader) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Number > 0 && time.Since(s.confirmedAt) < MaxStaleness
}

// ConfirmedByTable reports whether the table itself has confirmed the version within the bound.
func (s *Spreader) ConfirmedByTable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.tableAt.IsZero() && time.Since(s.tableAt) < MaxStaleness
}

// ConfirmByPeer notes that another entry knows no later version than the given one.
func (s *Spreader) ConfirmByPeer(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Number > 0 && number <= s.current.Number {
		s.confirmedAt = time.Now()
	}
}

// Run looks at the table again and again until the context ends.
func (s *Spreader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.Refresh(ctx)
		pause := time.Duration(float64(pollPause) * (0.8 + 0.4*s.options.Random()))
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// Refresh takes the version in the table, or what other entries know while the table is away and nothing is known here.
func (s *Spreader) Refresh(ctx context.Context) {
	v, err := s.readTable(ctx)
	switch {
	case err == nil:
		s.Apply(v)
		s.noteTable()
	case errors.Is(err, ErrNoDocument), errors.Is(err, errUnchanged):
		s.noteTable()
	default:
		s.options.Logger.Debug("document not readable", "error", err)
		if _, known := s.Current(); known == nil {
			return
		}
		if v, err := s.options.FetchLatest(ctx); err == nil {
			s.Apply(v)
		}
	}
}

func (s *Spreader) noteTable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableAt = time.Now()
	s.confirmedAt = s.tableAt
}

// readTable reads the small row that grows with each edit, and the document only if that is later than the one in force.
func (s *Spreader) readTable(ctx context.Context) (Version, error) {
	row, err := s.options.Table.Read(ctx, recorder.KeyVersion)
	if errors.Is(err, storer.ErrNotFound) {
		return Version{}, ErrNoDocument
	}
	if err != nil {
		return Version{}, fmt.Errorf("read version: %w", err)
	}
	if current, known := s.Current(); known == nil && row.Version <= current.Number {
		return Version{}, errUnchanged
	}
	row, err = s.options.Table.Read(ctx, recorder.KeyDocument)
	if err != nil {
		return Version{}, fmt.Errorf("read document: %w", err)
	}
	return decodeRow(row)
}

func decodeRow(row storer.Row) (Version, error) {
	value, err := recorder.Decode[stored](row)
	if err != nil {
		return Version{}, err
	}
	return Parse(row.Version, value.Text)
}

// Parse returns the version with its text decoded.
func Parse(number int64, text json.RawMessage) (Version, error) {
	d, err := documenter.Decode(text)
	if err != nil {
		return Version{}, fmt.Errorf("decode version %d: %w", number, err)
	}
	return Version{Number: number, Document: d, Text: text}, nil
}

// Apply puts a version in force if it is later than the one in force; it reports whether it did.
func (s *Spreader) Apply(v Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Number <= s.current.Number {
		return false
	}
	s.current = v
	s.confirmedAt = time.Now()
	s.options.Logger.Info("document in force", "version", v.Number)
	s.options.OnChange(v)
	return true
}

// Put makes an edit of version base the next version; an edit repeated with its ID is the same edit.
//
// The error wraps documenter.ErrInvalid, ErrStale, storer.ErrUnavailable or storer.ErrOutcomeUnknown.
func (s *Spreader) Put(ctx context.Context, base int64, text json.RawMessage, editID, by string) (Version, error) {
	v, err := Parse(base+1, text)
	if err != nil {
		return Version{}, err
	}
	now := time.Now()
	err = s.options.Table.WriteSettled(ctx, editID, []storer.Change{
		{Key: recorder.KeyDocument, Expect: base, Value: recorder.Encode(stored{By: by, At: now, Text: text})},
		{Key: recorder.KeyVersion, Expect: base, Value: recorder.Encode(v.Number)},
		{Key: recorder.HistoryKey(v.Number), Expect: 0, Value: recorder.Encode(Edit{Version: v.Number, At: now, By: by, Text: text})},
	})
	if errors.Is(err, storer.ErrConflict) {
		return s.resolveConflict(ctx, v, editID)
	}
	if err != nil {
		return Version{}, fmt.Errorf("put version %d: %w", v.Number, err)
	}
	s.Apply(v)
	s.options.Broadcast(v)
	return v, nil
}

// resolveConflict finds out whether the edit itself was accepted earlier.
func (s *Spreader) resolveConflict(ctx context.Context, v Version, editID string) (Version, error) {
	row, err := s.options.Table.Read(ctx, recorder.HistoryKey(v.Number))
	if err == nil && row.WriteID == editID {
		s.Apply(v)
		return v, nil
	}
	s.Refresh(ctx)
	current, err := s.Current()
	if err != nil {
		return Version{}, err
	}
	return current, fmt.Errorf("%w: version %d is in force", ErrVersionConflict, current.Number)
}

// History returns the accepted versions, the oldest first.
func (s *Spreader) History(ctx context.Context) ([]Edit, error) {
	rows, err := s.options.Table.Range(ctx, recorder.PrefixDocument)
	if err != nil {
		return nil, fmt.Errorf("read history: %w", err)
	}
	edits := make([]Edit, 0, len(rows))
	for _, row := range rows {
		edit, err := recorder.Decode[Edit](row)
		if err != nil {
			return nil, err
		}
		edits = append(edits, edit)
	}
	return edits, nil
}
