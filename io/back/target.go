package back

import (
	"net/url"
	"strings"

	"github.com/juju/errors"
)

// CheckPath returns an error if a Request.Path cannot be sent byte for byte.
//
// Errors: NotValid.
func CheckPath(path string) error {
	_, err := targetURL(path)
	return errors.Trace(err)
}

// targetURL returns the URL that net/http writes as a given path and query. Only an opaque
// URL is written as it is: a path with a character that RFC 3986 does not list is decoded and
// escaped anew otherwise, so that an escaped slash becomes a real one. net/http puts the scheme
// before an opaque URL that begins with two slashes.
//
// Errors: NotValid.
func targetURL(path string) (*url.URL, error) {
	u, err := url.ParseRequestURI(path)
	if err != nil || !strings.HasPrefix(path, "/") {
		return nil, errors.NotValidf("Request.Path %q (must be an absolute path)", path)
	}
	if !strings.HasPrefix(path, "//") {
		return &url.URL{Scheme: "http", Opaque: path}, nil
	}
	if u.RequestURI() != path {
		return nil, errors.NotValidf("Request.Path %q (must have no characters that have to be escaped after two slashes)", path)
	}
	u.Scheme = "http"
	return u, nil
}
