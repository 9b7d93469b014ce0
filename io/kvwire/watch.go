package kvwire

// WatchRequest starts a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate has the range and the start revision of a watch. A watch with start
// revision 0 starts at the next change.
type WatchCreate struct {
	Key            []byte `json:"key,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  int64  `json:"start_revision,omitempty,string"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchMessage is one message of a watch's stream.
type WatchMessage struct {
	Result WatchResponse  `json:"result"`
	Error  *ErrorResponse `json:"error,omitempty"`
}

// WatchResponse has the events that are delivered together. Without events it is the
// confirmation of the watch's creation, a progress notice or a cancellation.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,omitempty,string"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}
