package kvwire

// Header is part of the responses. Revision is the service's revision.
type Header struct {
	Revision int64 `json:"revision,omitempty,string"`
}

// KeyValue is one stored key.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Version        int64  `json:"version,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,omitempty,string"`
}

// RangeRequest reads one key, or all keys from Key to RangeEnd, without RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,omitempty,string"`
}

// PutRequest stores a value.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,omitempty,string"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Value          []byte `json:"value,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a transaction.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp answers one RequestOp; only the answers to reads are decoded.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseRequest grants a lease with a TTL in seconds, or renews or revokes the lease
// with the ID.
type LeaseRequest struct {
	ID  int64 `json:"ID,omitempty,string"`
	TTL int64 `json:"TTL,omitempty,string"`
}

// LeaseResponse answers a LeaseRequest. TTL is in seconds; 0 means that the lease does
// not exist.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,omitempty,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

// KeepAliveResponse answers the renewal of a lease. The gateway wraps it in a result
// because it is a stream in gRPC.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// ErrorResponse is the body of a response whose status isn't 200.
type ErrorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}
