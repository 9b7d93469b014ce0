package tree

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// firstDuplicateKey returns the path of the first key that occurs twice in one
// object; encoding/json accepts duplicate keys silently.
func firstDuplicateKey(document []byte) (string, bool) {
	f := duplicateFinder{dec: json.NewDecoder(bytes.NewReader(document))}
	f.dec.UseNumber()
	return f.inValue("")
}

// duplicateFinder reads a document token by token and stops at the first error.
type duplicateFinder struct {
	dec *json.Decoder
	err error
}

func (f *duplicateFinder) token() json.Token {
	var token json.Token
	if f.err == nil {
		token, f.err = f.dec.Token()
	}
	return token
}

// inValue searches one value.
func (f *duplicateFinder) inValue(path string) (string, bool) {
	switch f.token() {
	case json.Delim('{'):
		return f.inObject(path)
	case json.Delim('['):
		return f.inArray(path)
	}
	return "", false
}

func (f *duplicateFinder) inObject(path string) (string, bool) {
	seen := map[string]bool{}
	for f.err == nil && f.dec.More() {
		name := fmt.Sprint(f.token())
		if seen[name] {
			return joinPath(path, name), true
		}
		seen[name] = true
		if found, ok := f.inValue(joinPath(path, name)); ok {
			return found, true
		}
	}
	f.token()
	return "", false
}

func (f *duplicateFinder) inArray(path string) (string, bool) {
	for i := 0; f.err == nil && f.dec.More(); i++ {
		if found, ok := f.inValue(joinPath(path, fmt.Sprint(i))); ok {
			return found, true
		}
	}
	f.token()
	return "", false
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
