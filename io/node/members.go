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

// The kinds of gossip items about VMs.
const (
	kindStatement spread.Kind = "member"
	kindOpinion   spread.Kind = "opinion"
)

// The local VM's statement is published again after statementInterval or, if that
// is longer, after statementIntervalPerVM times the number of entry VMs, so that all
// VMs together publish at most one a second. A statement that the VM is leaving is
// published at once.
const (
	statementInterval      = 5 * time.Second
	statementIntervalPerVM = time.Second
	statementTTL           = 15 * time.Minute
)

// Opinions that still hold are published again after opinionInterval.
const (
	opinionInterval = 10 * time.Second
	opinionTTL      = 30 * time.Second
)

// members publishes this VM's statements and opinions by gossip, and applies those
// of other VMs to the view.
type members struct {
	self  call.VMID
	view  *member.View
	own   *member.Self
	store *spread.Store
	log   logrus.FieldLogger
	// mu guards own and the times when statements and opinions were last published.
	mu            sync.Mutex
	lastStatement time.Time
	lastOpinions  time.Time
}

// publishDue publishes the statement and the opinions if they are due.
func (m *members) publishDue(now time.Time, vms int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastStatement) >= max(statementInterval, time.Duration(vms)*statementIntervalPerVM) {
		m.publishStatement(now, m.own.Next())
	}
	if now.Sub(m.lastOpinions) < opinionInterval {
		return
	}
	m.lastOpinions = now
	for _, o := range m.view.Opinions(now, m.self) {
		m.put(now, kindOpinion, string(o.By)+"/"+string(o.About), uint64(now.UnixMilli()), o, opinionTTL)
	}
}

// leave publishes at once that this VM is leaving.
func (m *members) leave(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publishStatement(now, m.own.Leave())
}

func (m *members) publishStatement(now time.Time, s member.Statement) {
	m.lastStatement = now
	m.put(now, kindStatement, string(m.self), s.Version(), s, statementTTL)
}

// put stores an item for gossip.
func (m *members) put(now time.Time, kind spread.Kind, key string, version uint64, value any, ttl time.Duration) {
	raw, err := json.Marshal(value)
	if err != nil {
		m.log.WithFields(logrus.Fields{"event": "spread", "kind": kind, "key": key, "cause": err}).Error("gossip item could not be encoded")
		return
	}
	m.store.Put(now, spread.Item{ID: spread.ID{Kind: kind, Key: key}, Version: version, Value: raw, Expires: now.Add(ttl)})
}

// applyItem applies a received item about a VM.
func (m *members) applyItem(now time.Time, item spread.Item) error {
	switch item.Kind {
	case kindStatement:
		s, err := member.ParseStatement(item.Value)
		if err != nil {
			return err
		}
		m.applyStatement(now, s)
	case kindOpinion:
		var o member.Opinion
		if err := json.Unmarshal(item.Value, &o); err != nil {
			return err
		}
		m.view.ApplyOpinion(now, o)
	}
	return nil
}

func (m *members) applyStatement(now time.Time, s member.Statement) {
	if s.VM.ID == m.self {
		m.applyOwnStatement(now, s)
		return
	}
	before := m.view.Verdict(now, s.VM.ID)
	m.view.ApplyStatement(now, s)
	if after := m.view.Verdict(now, s.VM.ID); after.Reason != before.Reason {
		m.log.WithFields(logrus.Fields{
			"event": "member", "vm": s.VM.ID, "usable": after.Usable, "reason": after.Reason, "before": before.Reason,
		}).Info("verdict on VM changed")
	}
}

// applyOwnStatement publishes a newer statement if the given one, from an earlier
// process of this VM, would otherwise supersede this process's statements.
func (m *members) applyOwnStatement(now time.Time, s member.Statement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own.ObserveStatement(s) {
		m.publishStatement(now, m.own.Next())
	}
}

// contacted records the result of an exchange with a peer as a heartbeat.
func (m *members) contacted(now time.Time, c peer.ExchangeResult) {
	if c.Err != nil {
		m.view.Missed(now, c.Peer.ID)
		return
	}
	m.view.Answered(now, c.Peer.ID, member.StateLive)
}
