package tree

import (
	"encoding/json"
	"slices"
	"strconv"
)

// Key describes one key of the tree.
type Key struct {
	Name string
	// Type is the JSON type with its unit, for example "duration".
	Type string
	// Default is the value in JSON that counts where no branch sets the key.
	Default string
	// Allowed says which values are allowed.
	Allowed string
	// Kinds are the branches that may hold the key.
	Kinds []Kind
	// Meaning says what the key does.
	Meaning string
}

// In reports whether a branch of the kind may hold the key.
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

// field is a key with its place in the struct S.
type field[S any] struct {
	Key
	// set stores a value; false if it is not allowed.
	set func(target *S, raw json.RawMessage) bool
	// get returns the value in JSON; false if the branch does not set the key.
	get func(target *S) (json.RawMessage, bool)
}

// optional binds a key to a pointer field, nil where the key is not set.
func optional[S, T any](key Key, at func(*S) **T, allowed func(T) bool) field[S] {
	return field[S]{
		Key: key,
		set: func(target *S, raw json.RawMessage) bool {
			var value T
			if !decode(raw, &value) || !allowed(value) {
				return false
			}
			*at(target) = &value
			return true
		},
		get: func(target *S) (json.RawMessage, bool) {
			if *at(target) == nil {
				return nil, false
			}
			return json.RawMessage(jsonText(*at(target))), true
		},
	}
}

// plain binds a key to a field whose zero value means that the key is not set.
func plain[S, T any](key Key, at func(*S) *T, allowed func(T) bool) field[S] {
	return field[S]{
		Key: key,
		set: func(target *S, raw json.RawMessage) bool {
			var value T
			if !decode(raw, &value) || !allowed(value) {
				return false
			}
			*at(target) = value
			return true
		},
	}
}

func decode[T any](raw json.RawMessage, value *T) bool {
	return string(raw) != "null" && json.Unmarshal(raw, value) == nil
}

func contains(list []string, word string) bool { return slices.Contains(list, word) }

func quote(word string) string { return strconv.Quote(shorten(word)) }
