package stream

// onceMembers are members whose value comes whole, if more than once, and is not
// continued by the next chunk.
var onceMembers = map[string]bool{memberRole: true, memberID: true, memberIndex: true, "type": true}

// merge adds a part of a streamed JSON value to what came before, in the way of
// the API's clients: texts and lists are continued, list items that have an index
// are merged by it, objects are merged member by member, and of anything else the
// newest holds.
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

// positionOf returns the place of the item with the same index, -1 if there is none.
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
