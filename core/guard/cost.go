package guard

import "bytes"

// What a head may cost once parsed. A byte is held in the line that is being read, whose buffer
// doubles, and in the string made of it. A field costs an entry in a map that may be half
// empty, its key, its slice of values, and the same again in the copy that is sent on.
const (
	bytesPerByte = 5
	bytesPerLine = 320
)

// HeadCost returns the most memory, in bytes, that a part of a head costs once parsed.
func HeadCost(part []byte) int64 {
	return int64(len(part))*bytesPerByte + int64(bytes.Count(part, []byte("\n")))*bytesPerLine
}

// FieldsCost returns the same of the fields of a parsed head.
func FieldsCost(fields map[string][]string) int64 {
	sum := int64(0)
	for name, values := range fields {
		for _, value := range values {
			sum += int64(len(name)+len(value))*bytesPerByte + bytesPerLine
		}
	}
	return sum
}
