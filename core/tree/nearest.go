package tree

// nearest returns the known word with the smallest edit distance to the given
// one; the first of them on a tie, "" if there are no known words.
func nearest(word string, known []string) string {
	best, bestDistance := "", -1
	for _, k := range known {
		if d := editDistance(word, k); bestDistance < 0 || d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// maxComparedBytes is the length of the prefix of a word that is compared, in bytes.
const maxComparedBytes = 64

// editDistance is the Levenshtein distance.
func editDistance(a, b string) int {
	a, b = a[:min(len(a), maxComparedBytes)], b[:min(len(b), maxComparedBytes)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
