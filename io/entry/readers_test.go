package entry

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/reader"
	"gentianwell/core/spread"
	"gentianwell/io/peer"
)

type fakeMirror struct {
	watching   bool
	completeAt time.Time
}

func (m *fakeMirror) Watching() bool       { return m.watching }
func (m *fakeMirror) Pause()               { m.watching = false }
func (m *fakeMirror) Resume(at time.Time)  { m.watching, m.completeAt = true, at }
func (m *fakeMirror) Confirm(at time.Time) { m.completeAt = at }

// Guards against a VM that does not watch although its list may lack a change: by claims that were
// long under way, of a reader whose clock is ahead, of another list, or of a reader without the store.
func TestClaimsOfReaders(t *testing.T) {
	const age, ahead = 600 * time.Millisecond, 20 * time.Second
	for name, test := range map[string]struct {
		vms     int
		delay   time.Duration
		digest  uint64
		lost    bool
		resumes bool
	}{
		"sound":        {vms: 30, delay: age - 100*time.Millisecond, digest: 7},
		"late":         {vms: 30, delay: age + 100*time.Millisecond, digest: 7, resumes: true},
		"another list": {vms: 30, digest: 8, resumes: true},
		"store lost":   {vms: 30, digest: 7, lost: true, resumes: true},
		"fewer VMs":    {vms: 29, digest: 7, resumes: true},
	} {
		t.Run(name, func(t *testing.T) {
			now, vms := time.Unix(1000, 0), 30
			log, _ := logtest.NewNullLogger()
			m := &fakeMirror{watching: true}
			r, err := newReaders(readersConfig{
				self: "vm-zz", zone: "a", maxAge: age, minVMs: reader.MinVMs, storeUp: func() bool { return true }, isProber: func(time.Time) bool { return false },
				digest: func() uint64 { return 7 }, now: func() time.Time { return now }, log: log,
				notify: func(time.Time, peer.Peer, spread.Items) error { return nil },
				ahead:  func(call.VMID) time.Duration { return ahead },
				others: func() (out []member) {
					for i := range vms - 1 {
						out = append(out, member{Peer: peer.Peer{ID: call.VMID(fmt.Sprintf("vm-%02d", i))}, zone: "a"})
					}
					return out
				},
			})
			assert.NilError(t, err)
			r.setMirror(m)
			pass := func(claims int, delay time.Duration, item readerItem) {
				for range claims {
					now = now.Add(readerInterval)
					if !item.Lost {
						item.CompleteMs = now.Add(ahead - delay).UnixMilli()
					}
					raw, err := json.Marshal(item)
					assert.NilError(t, err)
					r.receive(now, spread.Item{ID: spread.ID{Kind: kindReader, Key: "vm-00"}, Value: raw})
					r.tick(now)
				}
			}
			pass(40, 0, readerItem{Digest: 7})
			assert.Assert(t, !r.status().isReader && !m.watching, "%+v", r.status())
			assert.Equal(t, m.completeAt.UnixMilli(), now.UnixMilli())
			last := now
			vms = test.vms
			pass(20, test.delay, readerItem{Digest: test.digest, Lost: test.lost})
			assert.Equal(t, m.watching, test.resumes)
			if test.resumes && test.digest == 8 {
				assert.Equal(t, m.completeAt.UnixMilli(), last.UnixMilli(), "changes found now count as made since the last claim that held")
			}
		})
	}
}
