package frame

// Fault says why the length of a request is not certain.
type Fault string

// The faults.
const (
	// FaultNone is that of a request with one length.
	FaultNone Fault = ""
	// FaultBothLengths is that of a request with Content-Length and Transfer-Encoding, or
	// with two different Content-Lengths.
	FaultBothLengths Fault = "bothLengths"
	// FaultOldVersion is that of an HTTP/1.0 request with Transfer-Encoding.
	FaultOldVersion Fault = "transferEncodingInHTTP10"
	// FaultNotUnderstood is that of a request whose framing, or that of one before it on
	// the connection, the scanner cannot follow.
	FaultNotUnderstood Fault = "notUnderstood"
)
