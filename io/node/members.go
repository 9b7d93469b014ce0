package node

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/core/spread"
	"gentianwell/io/peer"
)

// The kinds of items about VMs.
const (
	kindStatement spread.Kind = "member"
	kindOpinion   spread.Kind = "opinion"
)

// A statement is made anew after statementInterval, or after statementShare for
// each entry VM where that is longer, so that all VMs together make at most one
// a second. One that says that the VM leaves is made at once.
const (
	statementInterval = 5 * time.Second
	statementShare    = time.Second
	statementTTL      = 15 * time.Minute
)

// An opinion is made anew after opinionInterval while it holds.
const (
	opinionInterval = 10 * time.Second
	opinionTTL      = 30 * time.Second
)

// members spreads what this VM says of itself and of others, and hears the same.
type members struct {
	self  call.VMID
	view  *member.View
	own   *member.Self
	store *spread.Store
	log   logrus.FieldLogger
	// mu guards own and the times below.
	mu       sync.Mutex
	stated   time.Time
	opinions time.Time
}

// spread makes the statements and opinions that are due.
func (m *members) spread(now time.Time, vms int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.stated) >= max(statementInterval, time.Duration(vms)*statementShare) {
		m.state(now, m.own.Next())
	}
	if now.Sub(m.opinions) < opinionInterval {
		return
	}
	m.opinions = now
	for _, o := range m.view.Opinions(now, m.self) {
		m.put(now, kindOpinion, string(o.By)+"/"+string(o.About), uint64(now.UnixMilli()), o, opinionTTL)
	}
}

// leave tells at once that this VM leaves.
func (m *members) leave(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state(now, m.own.Leave())
}

func (m *members) state(now time.Time, s member.Statement) {
	m.stated = now
	m.put(now, kindStatement, string(m.self), s.Version(), s, statementTTL)
}

func (m *members) put(now time.Time, kind spread.Kind, key string, version uint64, value any, ttl time.Duration) {
	raw, err := json.Marshal(value)
	if err != nil {
		m.log.WithFields(logrus.Fields{"event": "spread", "kind": kind, "key": key, "cause": err}).Error("item not made")
		return
	}
	m.store.Put(now, spread.Item{ID: spread.ID{Kind: kind, Key: key}, Version: version, Value: raw, Expires: now.Add(ttl)})
}

// hear takes an item about VMs.
func (m *members) hear(now time.Time, item spread.Item) error {
	switch item.Kind {
	case kindStatement:
		s, err := member.ParseStatement(item.Value)
		if err != nil {
			return err
		}
		m.hearStatement(now, s)
	case kindOpinion:
		var o member.Opinion
		if err := json.Unmarshal(item.Value, &o); err != nil {
			return err
		}
		m.view.ApplyOpinion(now, o)
	}
	return nil
}

func (m *members) hearStatement(now time.Time, s member.Statement) {
	if s.VM.ID == m.self {
		m.hearOwn(now, s)
		return
	}
	before := m.view.Verdict(now, s.VM.ID)
	m.view.ApplyStatement(now, s)
	if after := m.view.Verdict(now, s.VM.ID); after.Reason != before.Reason {
		m.log.WithFields(logrus.Fields{
			"event": "member", "vm": s.VM.ID, "usable": after.Usable, "reason": after.Reason, "before": before.Reason,
		}).Info("VM judged anew")
	}
}

// hearOwn outdoes what an earlier process of this VM has said.
func (m *members) hearOwn(now time.Time, s member.Statement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own.ObserveStatement(s) {
		m.state(now, m.own.Next())
	}
}

// contacted takes the end of an exchange with a peer as its heartbeat.
func (m *members) contacted(now time.Time, c peer.ExchangeResult) {
	if c.Err != nil {
		m.view.Missed(now, c.Peer.ID)
		return
	}
	m.view.Answered(now, c.Peer.ID, member.StateLive)
}
