package poison

// Suspect is a refused fingerprint that may be the cause of crashes at which others were in
// flight too.
type Suspect struct {
	Fingerprint Fingerprint
	// Crashes are those since its latest finish.
	Crashes Crashes
	// Request is true for the suspects of Config.Requests.
	Request bool
}

// String returns the kind and the fingerprint, for logs.
func (s Suspect) String() string {
	if s.Request {
		return "request " + s.Fingerprint.String()
	}
	return "part " + s.Fingerprint.String()
}
