// Package origin knows which software version of a service's backend servers began a stream, so
// that the stream goes on at no other, also at a VM that has never seen it.
//
// All VMs agree on one base version for each service, which is kept in the platform's store. A
// stream that began at the base needs no record; one that began at another version needs a
// record in the store, before its caller gets the first event. So a stream without a record
// began at the base. While one version serves there are no records.
//
// The base is replaced when it has had no replica for Config.Keep, as long as a stream may be
// taken up after it has broken: no stream that began there is left then. A VM that cannot tell
// whether its base is in force treats none as such, and records all streams.
//
// A VM that is out of step with the others breaks neither half: it begins no stream at another
// version whose record has reached neither the store nor all other VMs (BeginsUnrecorded), and takes a
// missing record for the base only by the store's answer, or if no VM can read the store
// (WithoutRecord).
//
// # Usage
//
//	r := origin.New(origin.Config{})
//	r.SetVersions(now, "drafts", map[call.Version]int{"v1": 3, "v2": 1}) // with each list of replicas
//	switch task := r.Task(now, "drafts"); task.Kind {
//	case origin.TaskRead: // read the base, then r.SetBase
//	case origin.TaskWrite: // write task.Version if the base is as of task.Revision, then r.SetBase
//	}
//	if r.NeedsRecord("drafts", version) { ... } // write a record before the first event
//	r.Began(now, id, origin.Stream{Service: "drafts", Version: version}, timeout)
//	stream, known := r.Lookup(now, id)             // began at this VM, or read from the store
//	version, known := r.WithoutRecord(now, "drafts", origin.EvidenceStore) // the store has no record
//
// A Registry is safe for concurrent use. It has no I/O.
package origin
