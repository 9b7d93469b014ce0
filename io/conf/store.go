package conf

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/tree"
	"gentianwell/io/kvs"
)

// The defaults and bounds of a store.
const (
	defaultHistory     = 64
	defaultCallTimeout = 10 * time.Second
	defaultRetry       = 200 * time.Millisecond
	defaultTries       = 5
	// maxWrites bounds the branches of one change: the service takes 128
	// operations in one transaction, and head and history need some.
	maxWrites = 100
	// maxValueBytes is the service's bound on one value.
	maxValueBytes = 1 << 20
	changeIDBytes = 6
)

// StoreConfig configures a Store.
type StoreConfig struct {
	// Service and Now are needed.
	Service kvs.Service
	Now     func() time.Time
	// NewID returns a fresh change id; random by default.
	NewID func() string
	// History is the number of changes kept.
	History int64
	// CallTimeout bounds each call; Retry is the pause before a change whose
	// reply was lost is sent again, Tries the number of times it is sent.
	CallTimeout time.Duration
	Retry       time.Duration
	Tries       int
}

// Defaults fills in the fields left zero.
func (c *StoreConfig) Defaults() {
	if c.NewID == nil {
		c.NewID = NewChangeID
	}
	if c.History == 0 {
		c.History = defaultHistory
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.Retry == 0 {
		c.Retry = defaultRetry
	}
	if c.Tries == 0 {
		c.Tries = defaultTries
	}
}

// Validate checks that the needed fields are there.
//
// Errors: NotValid with the field's name.
func (c *StoreConfig) Validate() error {
	switch {
	case c.Service.Get == nil, c.Service.List == nil, c.Service.Transact == nil, c.Service.Watch == nil:
		return errors.NotValidf("StoreConfig.Validate: Service without Get, List, Transact or Watch")
	case c.Now == nil:
		return errors.NotValidf("StoreConfig.Validate: nil Now")
	}
	return nil
}

// NewChangeID returns a random change id.
func NewChangeID() string {
	raw := make([]byte, changeIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Store reads and changes the tree in the platform's service.
type Store struct {
	c StoreConfig
}

// NewStore returns a store.
//
// Errors: NotValid for the configuration.
func NewStore(c StoreConfig) (*Store, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "NewStore")
	}
	return &Store{c: c}, nil
}

// Loaded is the tree as the platform holds it at one revision.
type Loaded struct {
	tree.Document
	// Revision is the service's revision that was read.
	Revision kvs.Revision

	headMod    kvs.Revision
	generation string
	// stale are keys of other generations.
	stale []string
}

// Load reads the whole tree; without a head, an empty one of version 0.
//
// Errors: kvs.ErrUnavailable, ErrDamaged.
func (s *Store) Load(ctx context.Context) (Loaded, error) {
	ctx, cancel := context.WithTimeout(ctx, s.c.CallTimeout)
	defer cancel()
	snap, err := s.c.Service.List(ctx, Prefix)
	if err != nil {
		return Loaded{}, errors.Annotate(err, "Store.Load")
	}
	loaded, err := assemble(snap)
	if err != nil {
		return Loaded{}, errors.Annotatef(ErrDamaged, "Store.Load: %v", err)
	}
	return loaded, nil
}

func assemble(snap kvs.Snapshot) (Loaded, error) {
	loaded := Loaded{Revision: snap.Revision, generation: firstGeneration}
	for _, e := range snap.Entries {
		if e.Key != HeadKey {
			continue
		}
		h, err := parseHead(e.Value)
		if err != nil {
			return Loaded{}, err
		}
		loaded.Head, loaded.generation, loaded.headMod = h.Head, h.Generation, e.ModRevision
	}
	branches := map[tree.Branch][]byte{}
	for _, e := range snap.Entries {
		generation, b, ok := parseBranchKey(e.Key)
		if ok && loaded.headMod > 0 && generation == loaded.generation {
			branches[b] = e.Value
		} else if e.Key != HeadKey {
			loaded.stale = append(loaded.stale, e.Key)
		}
	}
	var err error
	loaded.Tree, err = tree.Assemble(branches)
	return loaded, err
}

// loadHead reads the head alone; the zero head if there is none.
func (s *Store) loadHead(ctx context.Context) (head, kvs.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.c.CallTimeout)
	defer cancel()
	found, err := s.c.Service.Get(ctx, HeadKey)
	if err != nil {
		return head{}, 0, errors.Annotate(err, "Store.loadHead")
	}
	if !found.Found {
		return head{}, 0, nil
	}
	h, err := parseHead(found.Entry.Value)
	if err != nil {
		return head{}, 0, errors.Annotatef(ErrDamaged, "Store.loadHead: %v", err)
	}
	return h, found.Entry.ModRevision, nil
}
