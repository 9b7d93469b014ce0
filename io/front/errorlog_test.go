package front

import (
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

func TestErrorLog(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	s := &Server{c: Config{Log: log}}
	s.HTTP().ErrorLog.Print("http: TLS handshake error\n")
	entry := hook.LastEntry()
	assert.Assert(t, entry != nil)
	assert.Equal(t, entry.Data["event"], "http")
	assert.Equal(t, entry.Data["cause"], "http: TLS handshake error")
}
