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
	// ErrVersionConflict means that an edit was rejected because its base is not the current version.
	ErrVersionConflict = errors.New("document has changed meanwhile")
	// ErrNoDocument means that the entry has not received any version of the document yet.
	ErrNoDocument = errors.New("no document is known yet")

	errUnchanged = errors.New("table has no newer version")
)

const (
	// pollInterval is the mean time between reads of the document's version in the table.
	pollInterval = 3 * time.Second
	// MaxStaleness is how long the current version stays fresh after the table or another entry confirmed it.
	MaxStaleness = 15 * time.Second
)

// Version is an accepted version of the document; numbers start at 1 and grow by 1.
type Version struct {
	Number   int64
	Document documenter.Document
	Text     json.RawMessage
}

// Edit is one accepted edit in the document's history.
type Edit struct {
	Version int64           `json:"version"`
	At      time.Time       `json:"at"`
	By      string          `json:"by,omitempty"`
	Text    json.RawMessage `json:"text,omitempty"`
}

// documentRow is the value of the table row that holds the latest accepted document.
type documentRow struct {
	By   string          `json:"by,omitempty"`
	At   time.Time       `json:"at"`
	Text json.RawMessage `json:"text"`
}

// Options configure a Spreader.
type Options struct {
	Table  storer.Table
	Random func() float64
	Logger *slog.Logger
	// OnChange is called for each new current version, in ascending order and with the spreader locked.
	OnChange func(v Version)
	// FetchLatest returns the latest version known to any reachable entry, or ErrNoDocument.
	FetchLatest func(ctx context.Context) (Version, error)
	// Broadcast sends a version to all other entries without waiting for their responses.
	Broadcast func(v Version)
}

// Spreader holds the current version of the document on this entry.
type Spreader struct {
	options Options

	mu               sync.Mutex
	current          Version
	confirmedAt      time.Time
	tableConfirmedAt time.Time
}

// New returns a spreader without a document; Run, Refresh, Apply and Put supply one.
func New(options Options) *Spreader { return &Spreader{options: options} }

// Current returns the current version, or ErrNoDocument.
func (s *Spreader) Current() (Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Number == 0 {
		return Version{}, ErrNoDocument
	}
	return s.current, nil
}

// Fresh reports whether the table or another entry has confirmed the current version within MaxStaleness.
func (s *Spreader) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.Number > 0 && time.Since(s.confirmedAt) < MaxStaleness
}

// ConfirmedByTable reports whether the table has been read successfully within MaxStaleness.
func (s *Spreader) ConfirmedByTable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.tableConfirmedAt.IsZero() && time.Since(s.tableConfirmedAt) < MaxStaleness
}

// ConfirmByPeer confirms the current version if another entry's version, given by number, is not newer.
func (s *Spreader) ConfirmByPeer(number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Number > 0 && number <= s.current.Number {
		s.confirmedAt = time.Now()
	}
}

// Run polls the table until the context ends.
func (s *Spreader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.Refresh(ctx)
		pause := time.Duration(float64(pollInterval) * (0.8 + 0.4*s.options.Random()))
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// Refresh applies the version in the table.
//
// If the table cannot be read and this entry has no document yet, Refresh asks
// the other entries for theirs.
func (s *Spreader) Refresh(ctx context.Context) {
	v, err := s.readTable(ctx)
	switch {
	case err == nil:
		s.Apply(v)
		s.confirmByTable()
	case errors.Is(err, ErrNoDocument), errors.Is(err, errUnchanged):
		s.confirmByTable()
	default:
		s.options.Logger.Debug("failed to read document", "error", err)
		if _, currentErr := s.Current(); currentErr == nil {
			return
		}
		if v, err := s.options.FetchLatest(ctx); err == nil {
			s.Apply(v)
		}
	}
}

func (s *Spreader) confirmByTable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableConfirmedAt = time.Now()
	s.confirmedAt = s.tableConfirmedAt
}

// readTable reads the document if the table has a newer version than the current one.
//
// It reads the small version row first, so that most polls do not transfer the document.
func (s *Spreader) readTable(ctx context.Context) (Version, error) {
	row, err := s.options.Table.Read(ctx, recorder.KeyDocumentVersion)
	if errors.Is(err, storer.ErrNotFound) {
		return Version{}, ErrNoDocument
	}
	if err != nil {
		return Version{}, fmt.Errorf("read version: %w", err)
	}
	if current, currentErr := s.Current(); currentErr == nil && row.Version <= current.Number {
		return Version{}, errUnchanged
	}
	row, err = s.options.Table.Read(ctx, recorder.KeyDocument)
	if err != nil {
		return Version{}, fmt.Errorf("read document: %w", err)
	}
	return decodeRow(row)
}

func decodeRow(row storer.Row) (Version, error) {
	value, err := recorder.Decode[documentRow](row)
	if err != nil {
		return Version{}, err
	}
	return Parse(row.Version, value.Text)
}

// Parse decodes the text of a version.
func Parse(number int64, text json.RawMessage) (Version, error) {
	d, err := documenter.Decode(text)
	if err != nil {
		return Version{}, fmt.Errorf("decode version %d: %w", number, err)
	}
	return Version{Number: number, Document: d, Text: text}, nil
}

// Apply makes v the current version if it is newer, and reports whether it was.
func (s *Spreader) Apply(v Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Number <= s.current.Number {
		return false
	}
	s.current = v
	s.confirmedAt = time.Now()
	s.options.Logger.Info("document version applied", "version", v.Number)
	s.options.OnChange(v)
	return true
}

// Put writes an edit of version base to the table as the next version.
//
// A caller may retry an edit with the same ID; it is applied only once. The error
// wraps documenter.ErrInvalid, ErrVersionConflict, storer.ErrUnavailable or
// storer.ErrOutcomeUnknown. With ErrVersionConflict, Put returns the current version.
func (s *Spreader) Put(ctx context.Context, base int64, text json.RawMessage, editID, by string) (Version, error) {
	v, err := Parse(base+1, text)
	if err != nil {
		return Version{}, err
	}
	now := time.Now()
	err = s.options.Table.WriteIdempotent(ctx, editID, []storer.Change{
		{Key: recorder.KeyDocument, Expect: base, Value: recorder.Encode(documentRow{By: by, At: now, Text: text})},
		{Key: recorder.KeyDocumentVersion, Expect: base, Value: recorder.Encode(v.Number)},
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

// resolveConflict returns v if an earlier attempt with the same edit ID wrote it, or else the current version and ErrVersionConflict.
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

// History returns the accepted versions, oldest first.
func (s *Spreader) History(ctx context.Context) ([]Edit, error) {
	rows, err := s.options.Table.Range(ctx, recorder.PrefixHistory)
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
