package fakekv

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Load stores each key of a JSON object, with its value encoded as JSON.
//
// Errors: NotValid if the data isn't such an object.
func (f *Fake) Load(data []byte) error {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(data, &values); err != nil {
		return errors.NewNotValid(err, "Fake.Load")
	}
	for key, value := range values {
		f.Put(key, value)
	}
	return nil
}
