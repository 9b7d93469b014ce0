package node

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/poison"
	"gentianwell/core/spread"
)

// applyItems passes received items that are new or changed to the parts that use
// them.
func (n *Node) applyItems(now time.Time, changed spread.Items) {
	for _, item := range changed {
		if err := n.applyItem(now, item); err != nil {
			n.log.WithFields(logrus.Fields{
				"event": "spread", "kind": item.Kind, "key": item.Key, "cause": err,
			}).Warn("gossip item is not valid; ignoring it")
		}
	}
}

func (n *Node) applyItem(now time.Time, item spread.Item) error {
	switch item.Kind {
	case kindStatement, kindOpinion:
		return n.members.applyItem(now, item)
	case poison.Kind:
		return n.poison.Merge(now, poison.Item{Key: item.Key, Version: item.Version, Value: item.Value})
	case poison.ReservationKind:
		r, err := poison.ParseReservation(item.Value)
		if err != nil {
			return err
		}
		if r.By != n.c.ID {
			n.router.Reserve(r.Replica, now.Add(r.For))
		}
	}
	return nil
}

// publishCrashRecords stores this VM's changed records of requests that crashed
// backend servers for gossip, and returns them.
func (n *Node) publishCrashRecords(now time.Time) spread.Items {
	var items spread.Items
	for _, item := range n.poison.Pending(now) {
		items = append(items, spread.Item{
			ID: spread.ID{Kind: poison.Kind, Key: item.Key}, Version: item.Version, Value: item.Value, Expires: item.Expires,
		})
	}
	n.store.Merge(now, items)
	return items
}

// pushCrashRecords sends the changed records to all VMs at once, because the caller
// of a request that has just failed may send it again through any of them. Crashes
// are rare enough for that.
func (n *Node) pushCrashRecords() {
	now := n.now()
	if items := n.publishCrashRecords(now); len(items) > 0 {
		n.gossip.Push(now, items)
	}
}

// reserve publishes a reservation, which asks the other VMs to send no calls to a
// replica, or ends one.
func (n *Node) reserve(now time.Time, r poison.Reservation) {
	r.By = n.c.ID
	raw, err := json.Marshal(r)
	if err != nil {
		n.log.WithField("event", "reservation").WithError(err).Error("reservation could not be encoded")
		return
	}
	n.store.Put(now, spread.Item{
		ID:      spread.ID{Kind: poison.ReservationKind, Key: string(r.Replica)},
		Version: uint64(now.UnixNano()), Value: raw, Expires: now.Add(poison.MaxReservation),
	})
}
