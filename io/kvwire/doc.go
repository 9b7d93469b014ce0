// Package kvwire defines the messages of the published JSON gateway of etcd v3, as far
// as this project uses them. The client in io/kvs and the fake service in io/fakekv
// encode and decode them with encoding/json.
//
// # Usage
//
//	body, err := json.Marshal(kvwire.RangeRequest{Key: []byte("a"), RangeEnd: kvwire.PrefixEnd("a")})
//	resp, err := http.Post(base+kvwire.PathRange, "application/json", bytes.NewReader(body))
//
// As in the gateway, keys and values are encoded as base64 and 64-bit integers as
// strings, and fields with a zero value are left out.
package kvwire

// The gateway's paths. The method is always POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// The gRPC status codes of error responses.
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
