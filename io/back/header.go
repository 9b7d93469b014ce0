package back

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopByHop are the header fields that apply to one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of the header without the hop-by-hop fields.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// keepAliveTimeout returns how long the backend server keeps an idle connection, if it says
// so.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, list := range h.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(list, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.ParseUint(value, 10, 16); err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}
