package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func newAttempt(req Request) *Attempt {
	return NewAttempt(AttemptConfig{
		Request: req, VM: "e1", Nonce: func() string { return "n" }, Now: start, MaxBody: 4,
	})
}

var request = Request{ID: "r1", Team: "judges", Service: "entries", Key: "k", Fingerprint: 7, Retention: 24 * time.Hour}

// An attempt whose reply is lost, on all retries too, is refused and never sent.
// Once the platform replies again, it releases the claim that it may have made.
func TestAbandoned(t *testing.T) {
	a := newAttempt(request)
	for range 1 + maxRetries {
		a.Apply(Reply{Result: ResultUnknown})
	}
	assert.Equal(t, a.Verdict().Kind, KindRefused)
	assert.ErrorIs(t, a.MarkSent(start), ErrNotHeld)
	assert.Assert(t, a.Pending())
	claimed := a.Next().Put
	claimed.State = StateClaimed
	a.Apply(Reply{Result: ResultRefused, Revision: 5, Found: true, Record: claimed})
	assert.ErrorIs(t, a.MarkSent(start), ErrNotHeld)
	want := Write{IfRevision: 5, Put: claimed}
	want.Put.State = StateReleased
	assert.DeepEqual(t, a.Next(), want)
	a.Apply(Reply{Result: ResultCommitted, Revision: 6})
	assert.Assert(t, !a.Pending())
}

func TestSendAge(t *testing.T) {
	tests := []struct {
		name string
		at   time.Time
		want error
	}{
		{"immediately", start, nil},
		{"after a long pause", start.Add(11 * time.Hour), nil},
		{"after half the retention", start.Add(13 * time.Hour), ErrExpired},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAttempt(request)
			a.Apply(Reply{Result: ResultCommitted, Revision: 2})
			assert.ErrorIs(t, a.MarkSent(tt.at), tt.want)
		})
	}
}

func TestPassOn(t *testing.T) {
	req := request
	req.ServiceDeduplicates = true
	a := newAttempt(req)
	a.Apply(Reply{Result: ResultNoEffect})
	assert.Equal(t, a.Verdict().Kind, KindPassOn)
}

func TestVerdictByFoundRecord(t *testing.T) {
	record := Record{State: StateClaimed, Nonce: "other", Attempt: "r0", VM: "e2", Fingerprint: 7}
	finished := record
	finished.State, finished.Outcome = StateFinished, &Outcome{Status: 201}
	body := finished
	body.Fingerprint = 8
	tests := []struct {
		name   string
		record Record
		want   Kind
	}{
		{"claimed", record, KindInProgress},
		{"finished", finished, KindReplay},
		{"other body", body, KindConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newAttempt(request)
			a.Apply(Reply{Result: ResultRefused, Revision: 3, Found: true, Record: tt.record})
			assert.Equal(t, a.Verdict().Kind, tt.want)
			assert.Assert(t, !a.Pending())
		})
	}
}

func TestRecordCodec(t *testing.T) {
	r := Record{
		State: StateFinished, Nonce: "n", Attempt: "r", VM: "e1", Fingerprint: 1<<64 - 1,
		Claimed: start.UTC(), Outcome: &Outcome{Status: 200, ContentType: "text/plain", Body: []byte{0, 255}},
	}
	data, err := r.Encode()
	assert.NilError(t, err)
	got, err := DecodeRecord(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, r)
	for _, bad := range []string{"", "[]", `{"state":"x"}`, `{"state":"claimed","nonce":""}`, `{"state":"finished","nonce":"n"}`} {
		_, err := DecodeRecord([]byte(bad))
		assert.Assert(t, err != nil, bad)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"state":"claimed","nonce":"n","fingerprint":"7"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := r.Encode()
		assert.NilError(t, err)
		_, err = DecodeRecord(again)
		assert.NilError(t, err)
	})
}

// A body over the limit is dropped, not truncated.
func TestOutcomeBounded(t *testing.T) {
	assert.DeepEqual(t, Outcome{Body: []byte("12345")}.Bounded(4), Outcome{Partial: true})
	assert.DeepEqual(t, Outcome{Body: []byte("1234")}.Bounded(4), Outcome{Body: []byte("1234")})
}

// A record that expires after the first refusal is treated as absent.
func TestExpiredRecord(t *testing.T) {
	a := newAttempt(request)
	a.Apply(Reply{Result: ResultRefused, Revision: 9, Found: true, Record: Record{State: StateReleased}})
	assert.Equal(t, a.Next().IfRevision, int64(9))
	a.Apply(Reply{Result: ResultRefused})
	assert.Equal(t, a.Next().IfRevision, int64(0))
}

// Requests whose parts contain the separator have different paths.
func TestRequestPath(t *testing.T) {
	paths := map[string]bool{}
	for _, r := range []Request{
		{Service: "a", Team: "b", Key: "c/d"},
		{Service: "a", Team: "b/c", Key: "d"},
		{Service: "a/b", Team: "c", Key: "d"},
		{Service: "a", Team: "b%2Fc", Key: "d"},
	} {
		paths[r.Path()] = true
	}
	assert.Equal(t, len(paths), 4)
	assert.Assert(t, (Request{Service: "a", Team: "b", Key: strings.Repeat("k", MaxKey+1)}).Validate() != nil)
}

func TestBreaker(t *testing.T) {
	b := NewBreaker(BreakerConfig{Pause: time.Second})
	admit := func(after time.Duration) bool {
		ok, wait := b.Admit(start.Add(after))
		assert.Assert(t, ok || wait > 0)
		return ok
	}
	assert.Assert(t, admit(0))
	b.Report(start, false)
	assert.Assert(t, !admit(time.Second/2))
	assert.Assert(t, admit(time.Second), "the probe")
	assert.Assert(t, !admit(time.Second), "one probe at a time")
	b.Report(start.Add(2*time.Second), true)
	assert.Assert(t, admit(2*time.Second))
}

func Example() {
	now := time.Unix(0, 0)
	a := NewAttempt(AttemptConfig{
		Request: Request{ID: "r-1", Team: "judges", Service: "entries", Key: "entry-17", Fingerprint: 42, Retention: time.Hour},
		VM:      "e1", Nonce: func() string { return "n-1" }, Now: now, MaxBody: 100,
	})
	write := a.Next()
	fmt.Println(write.IfRevision, write.Put.State, a.Request().Path())
	a.Apply(Reply{Result: ResultCommitted, Revision: 7})
	fmt.Println(a.Verdict().Kind, a.MarkSent(now) == nil)
	fmt.Println(a.Finish(Outcome{Status: 201}) == nil, a.Next().IfRevision, a.Next().Put.State)
	// Output:
	// 0 claimed entries/judges/entry-17
	// run true
	// true 7 finished
}
