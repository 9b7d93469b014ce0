// Package outbox queues records that are written asynchronously, in batches, and tells those who
// wait for one what has become of it.
//
// Each id has one record, the newest. A record that is put again while the earlier one waits or is
// being written takes over its waiters if it covers the earlier one (Config.Covers), and ends their
// wait otherwise, since the earlier one will not stay where it has been written. Records of a batch
// that fails go back into the queue, unless newer ones wait.
//
// A waiter is told that its record is known by the success of a batch that holds the record or one
// that covers it, or by Known, for records that have become known otherwise. It is told that its
// record never will be by Config.Max, by a newer record that does not cover it, by Remove and by
// Close. Nothing else ends its wait. After Lost, the success of a batch that began before tells
// nobody, as its records may be among those that were lost.
//
// # Usage
//
//	q, err := outbox.New(outbox.Config[string, Value]{Max: 4096})
//	wait := q.Add(now, id, value) // wait.Done() is closed once wait.Outcome() is final
//	if q.Begin(now) {             // one writer at a time, and none until the time given to Done
//		for batch := q.Take(32, false); len(batch) > 0; batch = q.Take(32, false) {
//			if err := write(batch); err != nil {
//				q.Done(ids(batch), now.Add(backoff))
//				break
//			}
//			q.Done(nil, time.Time{})
//		}
//		q.End()
//	}
//
// A Queue is safe for concurrent use. It has no I/O, no clock and starts nothing.
package outbox
