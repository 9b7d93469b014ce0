package tree

import (
	"encoding/hex"
	"regexp"
	"slices"
	"strings"
	"time"

	"gentianwell/core/call"
)

// Bounds of the values.
const (
	maxTarget          = time.Hour
	maxDeadline        = 24 * time.Hour
	maxRetention       = 30 * 24 * time.Hour
	maxRate            = 1e9
	maxWeight          = 1000
	minWeight          = 0.001
	maxCapacity        = 1_000_000
	maxReplicas        = 10_000
	maxListLength      = 1000
	keyHashHexLength   = 64
	minProgressTimeout = 10 * time.Millisecond
)

var (
	inheritedKinds = []Kind{KindSite, KindClass, KindTeam, KindTeamClass}
	siteAndTeam    = []Kind{KindSite, KindTeam}
	siteOnly       = []Kind{KindSite}
)

// valueFields are the inherited keys.
var valueFields = []field[Values]{
	optionalField(
		Key{"tier", typeInteger, "4", "0 to 7, 0 the most urgent", inheritedKinds, "Service tier."},
		func(v *Values) **call.Tier { return &v.Tier }, call.Tier.Valid),
	durationField(
		Key{"firstTokenTarget", typeDuration, `"2s"`, "1ms to 1h", inheritedKinds, "Target for the time to the first token."},
		func(v *Values) **Duration { return &v.FirstTokenTarget }, time.Millisecond, maxTarget),
	durationField(
		Key{"tokenGapTarget", typeDuration, `"100ms"`, "1ms to 1h", inheritedKinds, "Target for the time between tokens."},
		func(v *Values) **Duration { return &v.TokenGapTarget }, time.Millisecond, maxTarget),
	durationField(
		Key{"deadline", typeDuration, `"5m0s"`, "10ms to 24h", inheritedKinds, "Time for a whole answer where the caller gives none."},
		func(v *Values) **Duration { return &v.Deadline }, 10*time.Millisecond, maxDeadline),
	durationField(
		Key{"maxWait", typeDuration, `"30s"`, "1ms to 24h, no longer than deadline", inheritedKinds, "Longest time in a queue."},
		func(v *Values) **Duration { return &v.MaxWait }, time.Millisecond, maxDeadline),
	rateField(
		Key{"requestsPerSecond", typeNumber, "0", "0 (no limit) to 1e9", inheritedKinds, "Limit of one class of one team, in requests a second."},
		func(v *Values) **float64 { return &v.RequestsPerSecond }),
	rateField(
		Key{"tokensPerSecond", typeNumber, "0", "0 (no limit) to 1e9", inheritedKinds, "Limit of one class of one team, in tokens a second."},
		func(v *Values) **float64 { return &v.TokensPerSecond }),
	rateField(
		Key{"teamRequestsPerSecond", typeNumber, "0", "0 (no limit) to 1e9", siteAndTeam, "Limit of a team over all its classes, in requests a second."},
		func(v *Values) **float64 { return &v.TeamRequestsPerSecond }),
	rateField(
		Key{"teamTokensPerSecond", typeNumber, "0", "0 (no limit) to 1e9", siteAndTeam, "Limit of a team over all its classes, in tokens a second."},
		func(v *Values) **float64 { return &v.TeamTokensPerSecond }),
	optionalField(
		Key{"weight", typeNumber, "1", "0.001 to 1000", inheritedKinds, "A team's fair share against the other teams of a queue."},
		func(v *Values) **float64 { return &v.Weight }, between(minWeight, float64(maxWeight))),
	optionalField(
		Key{"retryShare", typeNumber, "0.1", "0 to 1", inheritedKinds, "Greatest ratio of retries to first attempts."},
		func(v *Values) **float64 { return &v.RetryShare }, between(0.0, 1.0)),
	durationField(
		Key{"progressTimeout", typeDuration, `"10s"`, "10ms to 1h, no shorter than tokenGapTarget", inheritedKinds, "Silence of a backend server after which its request goes on elsewhere, if it can."},
		func(v *Values) **Duration { return &v.ProgressTimeout }, minProgressTimeout, maxTarget),
	optionalField(
		Key{"defaultClass", typeString, `""`, "a name from classes, or empty (the caller has to name one)", siteAndTeam, "Class of a request that names none."},
		func(v *Values) **call.Class { return &v.DefaultClass },
		func(c call.Class) bool { return c == "" || plainName.MatchString(string(c)) }),
	optionalField(
		Key{"queueCapacity", typeInteger, "1000", "1 to 1000000", siteOnly, "Greatest number of requests waiting on one entry VM."},
		func(v *Values) **int { return &v.QueueCapacity }, between(1, maxCapacity)),
	durationField(
		Key{"stopLimit", typeDuration, `"0s"`, "0s (none) to 24h", siteOnly, "Longest planned stop of an entry VM; what runs then is cut."},
		func(v *Values) **Duration { return &v.StopLimit }, 0, maxDeadline),
	durationField(
		Key{"claimRetention", typeDuration, `"24h0m0s"`, "1h to 720h", siteOnly, "How long the claim and outcome of a non-idempotent call are kept."},
		func(v *Values) **Duration { return &v.ClaimRetention }, time.Hour, maxRetention),
	optionalField(
		Key{"atMostOnce", typeBoolean, "false", "true or false", inheritedKinds, "A completion runs at most once; with an idempotency key its repeats get the recorded answer."},
		func(v *Values) **bool { return &v.AtMostOnce }, anyValue[bool]),
}

var siteFields = []field[Site]{
	plainField(
		Key{"operatorKeyHashes", typeList, "[]", "SHA-256 sums, 64 hex digits each, no two the same", siteOnly, "Sums of the operators' bearer keys."},
		func(s *Site) *[]string { return &s.OperatorKeyHashes }, keyHashesAllowed),
}

var teamFields = []field[Team]{
	plainField(
		Key{"keyHashes", typeList, "[]", "SHA-256 sums, 64 hex digits each, no two the same", []Kind{KindTeam}, "Sums of the bearer keys of the team's callers."},
		func(t *Team) *[]string { return &t.KeyHashes }, keyHashesAllowed),
}

var modelFields = []field[Model]{
	plainField(
		Key{"minReplicas", typeInteger, "0", "0 to 10000", []Kind{KindModel}, "Least number of replicas that stay loaded."},
		func(m *Model) *int { return &m.MinReplicas }, between(0, maxReplicas)),
	plainField(
		Key{"adapters", typeList, "[]", "up to 1000 names, no two the same", []Kind{KindModel}, "Adapters to keep loaded."},
		func(m *Model) *[]string { return &m.Adapters }, namesAllowed),
	plainField(
		Key{"versions", typeList, "[]", "up to 1000 names, no two the same", []Kind{KindModel}, "Versions to keep loaded, the preferred one first."},
		func(m *Model) *[]string { return &m.Versions }, namesAllowed),
	plainField(
		Key{"urgent", typeBoolean, "false", "true or false", []Kind{KindModel}, "Never take away the model's last replica."},
		func(m *Model) *bool { return &m.Urgent }, anyValue[bool]),
}

var serviceFields = []field[Service]{
	plainField(
		Key{"pathPrefix", typeString, "none: needed", `a path that begins and ends with "/", not below a path of the router's own`, []Kind{KindService}, "Path below which the service's calls come."},
		func(s *Service) *string { return &s.PathPrefix }, pathPrefixAllowed),
	plainField(
		Key{"idempotentMethods", typeList, `["GET","HEAD","OPTIONS"]`, "HTTP methods in capitals, no two the same", []Kind{KindService}, "Methods that may be sent twice."},
		func(s *Service) *[]string { return &s.IdempotentMethods }, methodsAllowed),
	plainField(
		Key{"removesDuplicates", typeBoolean, "false", "true or false", []Kind{KindService}, "The service itself drops a call whose idempotency key it has seen."},
		func(s *Service) *bool { return &s.RemovesDuplicates }, anyValue[bool]),
}

// DefaultIdempotentMethods returns the methods that may be sent twice to a
// service that does not set idempotentMethods.
func DefaultIdempotentMethods() []string { return []string{"GET", "HEAD", "OPTIONS"} }

// Keys returns every key of the tree.
func Keys() []Key {
	var keys []Key
	for _, f := range valueFields {
		keys = append(keys, f.Key)
	}
	return slices.Concat(keys, keysOf(siteFields), keysOf(teamFields), keysOf(modelFields), keysOf(serviceFields))
}

func keysOf[S any](fields []field[S]) []Key {
	keys := make([]Key, len(fields))
	for i, f := range fields {
		keys[i] = f.Key
	}
	return keys
}

// keyNames returns the names of the keys that are allowed in a branch of the kind.
func keyNames(kind Kind) []string { return namesByKind[kind] }

var namesByKind = func() map[Kind][]string {
	names := map[Kind][]string{}
	for _, key := range Keys() {
		for _, kind := range key.Kinds {
			names[kind] = append(names[kind], key.Name)
		}
	}
	return names
}()

func durationField(key Key, pointer func(*Values) **Duration, lower, upper time.Duration) field[Values] {
	return optionalField(key, pointer, between(Duration(lower), Duration(upper)))
}

func rateField(key Key, pointer func(*Values) **float64) field[Values] {
	return optionalField(key, pointer, between(0, float64(maxRate)))
}

func between[T int | float64 | Duration](lower, upper T) func(T) bool {
	return func(value T) bool { return value >= lower && value <= upper }
}

func anyValue[T any](T) bool { return true }

func keyHashesAllowed(hashes []string) bool {
	for _, h := range hashes {
		if _, err := hex.DecodeString(h); err != nil || len(h) != keyHashHexLength || h != strings.ToLower(h) {
			return false
		}
	}
	return distinctWithinLimit(hashes)
}

func namesAllowed(names []string) bool {
	return distinctWithinLimit(names) && !slices.ContainsFunc(names, func(n string) bool { return !modelName.MatchString(n) })
}

var methodName = regexp.MustCompile(`^[A-Z]{1,20}$`)

func methodsAllowed(methods []string) bool {
	return distinctWithinLimit(methods) && !slices.ContainsFunc(methods, func(m string) bool { return !methodName.MatchString(m) })
}

// reservedPaths are served by the router itself; no service may use them.
var reservedPaths = []string{"/v1/", "/operator/", "/healthz/", "/readyz/", "/metrics/"}

var pathPrefix = regexp.MustCompile(`^/([A-Za-z0-9._~-]+/)+$`)

func pathPrefixAllowed(path string) bool {
	if !pathPrefix.MatchString(path) || strings.Contains(path, "/./") || strings.Contains(path, "/../") {
		return false
	}
	return !slices.ContainsFunc(reservedPaths, func(reserved string) bool { return strings.HasPrefix(path, reserved) })
}

// distinctWithinLimit reports whether a list has no duplicates and at most
// maxListLength elements.
func distinctWithinLimit(list []string) bool {
	sorted := slices.Sorted(slices.Values(list))
	return len(list) <= maxListLength && len(slices.Compact(sorted)) == len(list)
}
