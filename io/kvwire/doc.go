// Package kvwire holds the messages of the published JSON gateway of etcd v3, as
// far as this project uses them: both the adapter in io/kvs and the stand-in in
// io/fakekv encode and decode these types with encoding/json.
//
// # Usage
//
//	body, err := json.Marshal(kvwire.RangeRequest{Key: []byte("a"), RangeEnd: kvwire.PrefixEnd("a")})
//	resp, err := http.Post(base+kvwire.PathRange, "application/json", bytes.NewReader(body))
//
// Keys and values travel as base64, 64-bit integers as strings, and fields with
// their zero value are left out, as the gateway does.
package kvwire

// The gateway's paths; each takes POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// The gRPC status codes that the adapter tells apart.
const (
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeUnavailable       = 14
)

// The names of compare targets, the only compare result used, and the event
// type of a deletion (a put's type is left out).
const (
	TargetCreate = "CREATE"
	TargetMod    = "MOD"
	TargetValue  = "VALUE"
	ResultEqual  = "EQUAL"
	TypeDelete   = "DELETE"
)

// PrefixEnd returns the range_end that makes a range cover all keys with the
// prefix. The empty prefix covers all keys.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
