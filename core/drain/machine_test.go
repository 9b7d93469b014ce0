package drain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianwell/core/gwtest"
)

var epoch = time.Unix(1000, 0)

func TestLimitEndsAStop(t *testing.T) {
	m := New(Config{Notice: time.Second, Limit: time.Minute})
	assert.Assert(t, m.Admit(epoch))
	m.Start(epoch)
	assert.Equal(t, m.Advance(epoch.Add(59*time.Second)), PhaseFinish)
	assert.Equal(t, m.Advance(epoch.Add(60*time.Second)), PhaseStopped)
	assert.Equal(t, m.Status().Ending, EndingLimit)
}

func TestForce(t *testing.T) {
	m := New(Config{})
	assert.Assert(t, m.Admit(epoch))
	m.Start(epoch)
	assert.Equal(t, m.Force(), 1)
	assert.Equal(t, m.Status().Ending, EndingForced)
}

// TestStopCutsNothing checks that, without a limit or Force, a stop does not end while
// a request is in progress, accepts nothing after the first refusal, and ends with the
// last request.
func TestStopCutsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Config{Notice: 5 * time.Second})
		now, inFlight, refused := epoch, 0, false
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "s")) * time.Second)
			},
			"start": func(*rapid.T) { m.Start(now) },
			"arrive": func(t *rapid.T) {
				admitted := m.Admit(now)
				if admitted {
					assert.Assert(t, !refused, "request accepted after a refusal")
					inFlight++
				}
				refused = refused || !admitted
			},
			"finish": func(*rapid.T) {
				if inFlight > 0 {
					inFlight--
					m.Finish()
				}
			},
			"": func(t *rapid.T) {
				if m.Advance(now) == PhaseStopped {
					assert.Equal(t, inFlight, 0)
				}
				assert.Equal(t, m.Status().InFlight, inFlight)
			},
		})
		m.Start(now)
		for ; inFlight > 0; inFlight-- {
			m.Finish()
		}
		assert.Equal(t, m.Advance(now.Add(5*time.Second)), PhaseStopped)
	})
}

func ExampleMachine() {
	m := New(Config{Notice: time.Second})
	m.Admit(epoch)
	m.Start(epoch)
	fmt.Println(m.Ready(), m.Advance(epoch.Add(time.Second)))
	m.Finish()
	fmt.Println(m.Advance(epoch.Add(time.Hour)))
	// Output:
	// false finish
	// stopped
}
