package tree

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// firstDuplicate returns the path of the first key that stands twice in one
// object, which encoding/json would pass over in silence.
func firstDuplicate(document []byte) (string, bool) {
	w := walker{dec: json.NewDecoder(bytes.NewReader(document))}
	w.dec.UseNumber()
	return w.value("")
}

// walker reads a document token by token, until the first error.
type walker struct {
	dec *json.Decoder
	err error
}

func (w *walker) token() json.Token {
	var token json.Token
	if w.err == nil {
		token, w.err = w.dec.Token()
	}
	return token
}

// value looks through one value.
func (w *walker) value(path string) (string, bool) {
	switch w.token() {
	case json.Delim('{'):
		return w.object(path)
	case json.Delim('['):
		return w.array(path)
	}
	return "", false
}

func (w *walker) object(path string) (string, bool) {
	seen := map[string]bool{}
	for w.err == nil && w.dec.More() {
		name := fmt.Sprint(w.token())
		if seen[name] {
			return join(path, name), true
		}
		seen[name] = true
		if found, ok := w.value(join(path, name)); ok {
			return found, true
		}
	}
	w.token()
	return "", false
}

func (w *walker) array(path string) (string, bool) {
	for i := 0; w.err == nil && w.dec.More(); i++ {
		if found, ok := w.value(join(path, fmt.Sprint(i))); ok {
			return found, true
		}
	}
	w.token()
	return "", false
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
