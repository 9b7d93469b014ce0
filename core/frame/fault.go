package frame

// Fault says why the length of a message is not certain, or what its header must not contain.
type Fault string

// The faults.
const (
	// FaultNone is that of a valid message.
	FaultNone Fault = ""
	// FaultBothLengths is that of a request with Content-Length and Transfer-Encoding, or of a
	// message with two different Content-Lengths.
	FaultBothLengths Fault = "bothLengths"
	// FaultOldVersion is that of an HTTP/1.0 message with Transfer-Encoding.
	FaultOldVersion Fault = "transferEncodingInHTTP10"
	// FaultNotUnderstood is that of a message whose framing, or that of one before it on
	// the connection, the scanner cannot follow.
	FaultNotUnderstood Fault = "notUnderstood"
)

// The faults of responses only.
const (
	// FaultUnexpected is that of bytes after a response that answer no request.
	FaultUnexpected Fault = "unexpected"
	// FaultStatusLine is that of a response whose first line is not a status line of HTTP/1.
	FaultStatusLine Fault = "statusLine"
	// FaultStatus is that of a response with a status below 100 or above 599.
	FaultStatus Fault = "status"
	// FaultFieldName is that of a response with a line in its header or trailer that does not
	// begin with a token and a colon.
	FaultFieldName Fault = "fieldName"
	// FaultFieldValue is that of a response with a control byte in the value of a field.
	FaultFieldValue Fault = "fieldValue"
	// FaultFolded is that of a response with a line in its header or trailer that begins with a
	// space or a tab.
	FaultFolded Fault = "foldedField"
)
