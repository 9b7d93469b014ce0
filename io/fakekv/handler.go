package fakekv

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
	"gentianwell/io/kvwire"
)

// maxRequest limits the size of a request's body, in bytes. Like the real service's
// limit, it allows a value of one megabyte in base64.
const maxRequest = 4 << 20

// Handler returns an HTTP handler for the subset of the JSON gateway in io/kvwire and
// for paths with which a test controls the fake:
//
//	GET  /fake/faults   returns the current Faults as JSON
//	POST /fake/faults   replaces them
//	GET  /fake/counts   returns Counts as JSON
//	POST /fake/compact, /fake/lapse, /fake/save, /fake/restore   call Compact,
//	                    LapseLeases, Save, Restore
func (f *Fake) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+kvwire.PathRange, f.serveRange)
	mux.HandleFunc("POST "+kvwire.PathTxn, f.serveTxn)
	mux.HandleFunc("POST "+kvwire.PathGrant, f.serveGrant)
	mux.HandleFunc("POST "+kvwire.PathKeepAlive, f.serveKeepAlive)
	mux.HandleFunc("POST "+kvwire.PathRevoke, f.serveRevoke)
	mux.HandleFunc("POST "+kvwire.PathWatch, f.serveWatch)
	f.addAdmin(mux)
	return mux
}

func (f *Fake) serveRange(w http.ResponseWriter, r *http.Request) {
	var in kvwire.RangeRequest
	if !f.decode(w, r, &in) {
		return
	}
	if len(in.RangeEnd) > 0 {
		snap, err := f.listRange(r.Context(), string(in.Key), string(in.RangeEnd))
		f.reply(w, fromEntries(snap.Entries, snap.Revision), err)
		return
	}
	found, err := f.get(r.Context(), string(in.Key))
	f.reply(w, fromLookup(found), err)
}

func (f *Fake) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in kvwire.TxnRequest
	if !f.decode(w, r, &in) {
		return
	}
	result, err := f.transact(r.Context(), toTxn(in))
	out := kvwire.TxnResponse{Succeeded: result.Succeeded, Header: header(result.Revision)}
	for _, l := range result.Lookups {
		ranged := fromLookup(l)
		out.Responses = append(out.Responses, kvwire.ResponseOp{Range: &ranged})
	}
	f.reply(w, out, err)
}

func (f *Fake) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in kvwire.LeaseRequest
	if !f.decode(w, r, &in) {
		return
	}
	lease, err := f.grant(r.Context(), time.Duration(in.TTL)*time.Second)
	f.reply(w, kvwire.LeaseResponse{ID: int64(lease.ID), TTL: in.TTL}, err)
}

func (f *Fake) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var in kvwire.LeaseRequest
	if !f.decode(w, r, &in) {
		return
	}
	ttl, err := f.renew(r.Context(), kvs.LeaseID(in.ID))
	if errors.Is(err, kvs.ErrLeaseLapsed) {
		err = nil
	}
	out := kvwire.LeaseResponse{ID: in.ID, TTL: int64(ttl / time.Second)}
	f.reply(w, kvwire.KeepAliveResponse{Result: out}, err)
}

func (f *Fake) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var in kvwire.LeaseRequest
	if !f.decode(w, r, &in) {
		return
	}
	f.reply(w, kvwire.LeaseResponse{}, f.revoke(r.Context(), kvs.LeaseID(in.ID)))
}

func (f *Fake) serveWatch(w http.ResponseWriter, r *http.Request) {
	var in kvwire.WatchRequest
	if !f.decode(w, r, &in) {
		return
	}
	watch := &watcher{
		start: string(in.Create.Key), end: string(in.Create.RangeEnd),
		next: kvs.Revision(in.Create.StartRevision),
	}
	control, encoder := http.NewResponseController(w), json.NewEncoder(w)
	send := func(out kvwire.WatchResponse) error {
		if err := encoder.Encode(kvwire.WatchMessage{Result: out}); err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(control.Flush())
	}
	if err := send(kvwire.WatchResponse{Created: true}); err != nil {
		return
	}
	err := f.follow(r.Context(), watch, func(b kvs.Batch) error { return send(fromBatch(b)) })
	if errors.Is(err, kvs.ErrCompacted) {
		out := kvwire.WatchResponse{Canceled: true, CompactRevision: int64(watch.next)}
		if err := send(out); err != nil {
			return
		}
		return
	}
	panic(http.ErrAbortHandler)
}

// decode reads and decodes the request. If that fails, it writes an error response and
// returns false.
func (f *Fake) decode(w http.ResponseWriter, r *http.Request, in any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	f.countBytes(len(body), 0)
	if err := json.Unmarshal(body, in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reply writes the response. For an error other than kvs.ErrLeaseLapsed, such as an
// outage or a lost reply, it closes the connection without a response.
func (f *Fake) reply(w http.ResponseWriter, out any, err error) {
	if errors.Is(err, kvs.ErrLeaseLapsed) {
		w.WriteHeader(http.StatusNotFound)
		out = kvwire.ErrorResponse{Code: kvwire.CodeNotFound, Message: err.Error()}
	} else if err != nil {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	f.countBytes(0, len(body))
	// A write fails only if the client has disconnected, and then it needs no response.
	_, _ = w.Write(body)
}

func (f *Fake) countBytes(in, out int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.BytesIn += int64(in)
	f.counts.BytesOut += int64(out)
}
