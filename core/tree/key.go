package tree

import (
	"encoding/json"
	"slices"
	"strconv"
)

// Key describes one settings key.
type Key struct {
	Name string
	// Type is the JSON type of the value, with its unit if it has one, for example "duration".
	Type string
	// Default is the JSON value that applies if no branch sets the key.
	Default string
	// Allowed describes the allowed values.
	Allowed string
	// Kinds are the kinds of branch in which the key is allowed.
	Kinds []Kind
	// Meaning describes what the key does.
	Meaning string
}

// In reports whether the key is allowed in a branch of the kind.
func (k Key) In(kind Kind) bool { return slices.Contains(k.Kinds, kind) }

// The types of keys.
const (
	typeDuration = "duration"
	typeInteger  = "integer"
	typeNumber   = "number"
	typeString   = "string"
	typeList     = "list of strings"
	typeBoolean  = "boolean"
)

// field binds a key to a field of the struct S.
type field[S any] struct {
	Key
	// set stores a value; it returns false if the value is not allowed.
	set func(target *S, raw json.RawMessage) bool
	// get returns the value in JSON; it returns false if the branch does not set
	// the key. It is nil for fields that are not inherited.
	get func(target *S) (json.RawMessage, bool)
}

// optionalField binds a key to a pointer field that is nil if the key is not set.
func optionalField[S, T any](key Key, pointer func(*S) **T, allowed func(T) bool) field[S] {
	return field[S]{
		Key: key,
		set: func(target *S, raw json.RawMessage) bool {
			var value T
			if !decode(raw, &value) || !allowed(value) {
				return false
			}
			*pointer(target) = &value
			return true
		},
		get: func(target *S) (json.RawMessage, bool) {
			if *pointer(target) == nil {
				return nil, false
			}
			return json.RawMessage(jsonText(*pointer(target))), true
		},
	}
}

// plainField binds a key to a field whose zero value means that the key is not set.
func plainField[S, T any](key Key, pointer func(*S) *T, allowed func(T) bool) field[S] {
	return field[S]{
		Key: key,
		set: func(target *S, raw json.RawMessage) bool {
			var value T
			if !decode(raw, &value) || !allowed(value) {
				return false
			}
			*pointer(target) = value
			return true
		},
	}
}

func decode[T any](raw json.RawMessage, value *T) bool {
	return string(raw) != "null" && json.Unmarshal(raw, value) == nil
}

func contains(list []string, word string) bool { return slices.Contains(list, word) }

func quote(word string) string { return strconv.Quote(truncate(word)) }
