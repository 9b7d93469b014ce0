package stream

// onceMembers are members whose first value is complete. Later chunks may repeat the
// value but do not continue it.
var onceMembers = map[string]bool{memberRole: true, memberID: true, memberIndex: true, "type": true}

// merge adds a piece of a streamed JSON value to the value so far, as the API's client
// libraries do: strings and lists are appended to, list items with an index are merged
// by index, and objects are merged member by member. Null is ignored. Any other value
// replaces the previous one.
func merge(old, add any) any {
	switch add := add.(type) {
	case nil:
		return old
	case string:
		if before, ok := old.(string); ok {
			return before + add
		}
	case []any:
		before, _ := old.([]any)
		return mergeLists(before, add)
	case map[string]any:
		before, ok := old.(map[string]any)
		if !ok {
			before = map[string]any{}
		}
		mergeObjects(before, add)
		return before
	}
	return add
}

func mergeObjects(old, add map[string]any) {
	for name, value := range add {
		before, seen := old[name]
		if seen && before != nil && onceMembers[name] {
			continue
		}
		if merged := merge(before, value); merged != nil {
			old[name] = merged
		}
	}
}

func mergeLists(old, add []any) []any {
	for _, item := range add {
		at := positionOf(old, item)
		if at < 0 {
			old = append(old, merge(nil, item))
			continue
		}
		old[at] = merge(old[at], item)
	}
	return old
}

// positionOf returns the position in the list of the item with the same index member,
// or -1 if there is none.
func positionOf(list []any, item any) int {
	want, ok := memberOf(item, memberIndex)
	if !ok {
		return -1
	}
	for i, other := range list {
		if got, ok := memberOf(other, memberIndex); ok && got == want {
			return i
		}
	}
	return -1
}

func memberOf(item any, name string) (any, bool) {
	members, ok := item.(map[string]any)
	if !ok {
		return nil, false
	}
	value, ok := members[name]
	return value, ok
}
