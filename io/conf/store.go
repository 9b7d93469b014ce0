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

// The defaults and limits of a Store.
const (
	defaultHistorySize = 64
	defaultCallTimeout = 10 * time.Second
	defaultRetryDelay  = 200 * time.Millisecond
	defaultMaxAttempts = 5
	// maxBranchWrites is the maximum number of branches in one transaction: the
	// service accepts 128 operations, and the head and the history need some.
	maxBranchWrites = 100
	// maxValueBytes is the service's limit on the size of one value.
	maxValueBytes = 1 << 20
	changeIDBytes = 6
)

// StoreConfig configures a Store.
type StoreConfig struct {
	// Service and Now are required.
	Service kvs.Service
	Now     func() time.Time
	// NewID returns a new change ID; NewChangeID by default.
	NewID func() string
	// HistorySize is the number of changes that the history keeps.
	HistorySize int64
	// CallTimeout is the timeout of each call. RetryDelay is the delay before a
	// change whose reply was lost is sent again, and MaxAttempts is the maximum
	// number of times that it is sent.
	CallTimeout time.Duration
	RetryDelay  time.Duration
	MaxAttempts int
}

// Defaults sets the optional fields that are zero to their defaults.
func (c *StoreConfig) Defaults() {
	if c.NewID == nil {
		c.NewID = NewChangeID
	}
	if c.HistorySize == 0 {
		c.HistorySize = defaultHistorySize
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = defaultRetryDelay
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
}

// Validate checks that the required fields are set.
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

// NewChangeID returns a random change ID.
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

// Loaded is the document that the platform holds at one revision.
type Loaded struct {
	tree.Document
	// Revision is the key-value service's revision at the time of the read.
	Revision kvs.Revision

	// headMod is the revision that last modified the head; 0 if there is no head.
	headMod    kvs.Revision
	generation string
	// staleKeys are the keys below Prefix that are neither the head nor a branch
	// of the current generation.
	staleKeys []string
}

// Load reads the whole tree. If there is no head, it returns an empty tree of
// version 0.
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
			loaded.staleKeys = append(loaded.staleKeys, e.Key)
		}
	}
	var err error
	loaded.Tree, err = tree.Assemble(branches)
	return loaded, err
}

// loadHead reads the head and the revision that last modified it, both zero if
// there is no head.
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
