package forward

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/call"
)

// hopByHop are the headers of one connection (RFC 9110, 7.6.1), besides those
// that Connection lists. Expect is answered by the entry itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Expect": true,
}

// request builds the request for the target.
func (d *dispatch) request(ctx context.Context) (req *http.Request, err error) {
	defer func() { err = errors.WithMessage(err, "request for the target") }()
	t, in := d.try, d.try.Request
	u, err := target(t)
	if err != nil {
		return nil, err
	}
	out := &http.Request{
		Method:  in.Method,
		URL:     u,
		Host:    in.Host,
		Header:  d.header(),
		Trailer: trailer(in.Trailer),
	}
	out.Body = d.open(out.Trailer)
	frame(out, t)
	return out.WithContext(ctx), nil
}

// target returns the URL of the request at the target.
func target(t *Try) (u *url.URL, err error) {
	in := t.Request.URL
	u = &url.URL{Scheme: "http", Host: t.Target, Path: in.Path, RawPath: in.RawPath, RawQuery: in.RawQuery, ForceQuery: in.ForceQuery}
	if t.Path == "" {
		return u, nil
	}
	u.RawPath = t.Path
	u.Path, err = url.PathUnescape(t.Path)
	return u, err
}

// frame sets how the body's end is marked. "identity" keeps the transport from
// probing an empty body or sending it in chunks.
func frame(out *http.Request, t *Try) {
	length := int64(len(t.Body))
	if t.Stream != nil {
		length = t.Length
	}
	switch {
	case length < 0 || len(out.Trailer) > 0:
		out.ContentLength = -1
		out.TransferEncoding = []string{"chunked"}
	case length > 0:
		out.ContentLength = length
	default:
		out.ContentLength = -1
		out.TransferEncoding = []string{"identity"}
		emptyLength(out)
	}
}

// emptyLength says that the body is empty for the methods that usually have
// one. The transport drops a canonical Content-Length header and knows no
// length here, so the header is set under a name that it doesn't look for.
func emptyLength(out *http.Request) {
	switch out.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		out.Header["content-length"] = []string{"0"}
	}
}

// trailer returns the names that the target is told of; the values follow at
// the end of the body.
func trailer(in http.Header) http.Header {
	if len(in) == 0 {
		return nil
	}
	out := make(http.Header, len(in))
	for k := range in {
		if !own(k) && !hopByHop[k] {
			out[k] = nil
		}
	}
	return out
}

// own reports whether a header is plumpitch's. Some servers take an underscore
// for a hyphen, so that spelling counts as well.
func own(name string) bool {
	n := len(call.HeaderPrefix) - 1
	return len(name) > n && (name[n] == '-' || name[n] == '_') && strings.EqualFold(name[:n], call.HeaderPrefix[:n])
}

// header returns the headers for the target, and takes the id by which its
// answer is known.
func (d *dispatch) header() http.Header {
	if d.echo == "" {
		h := d.try.header()
		h[call.HeaderRequest] = []string{d.id}
		return h
	}
	h := make(http.Header, len(d.try.Request.Header)+len(d.try.Header))
	copyHeader(h, d.try.Request.Header, nil)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	for k, v := range d.try.Header {
		h[k] = v
	}
	d.id = h.Get(d.echo)
	return h
}

// header returns the caller's headers as the target may see them.
func (t *Try) header() http.Header {
	in := t.Request.Header
	out := make(http.Header, len(in)+8)
	copyHeader(out, in, own)
	if lists(in["Te"], "trailers") {
		out["Te"] = []string{"trailers"}
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	t.forwarded(out)
	if t.Timeout > 0 {
		out.Set(call.HeaderTimeout, t.Timeout.String())
	}
	out.Set(call.HeaderAttempt, strconv.Itoa(t.Attempt))
	out.Set(call.HeaderDepth, strconv.Itoa(t.Depth+1))
	for k, v := range t.Header {
		out[k] = v
	}
	return out
}

// copyHeader copies what belongs to the message and not to the connection. left
// names headers that are left out; nil leaves out none.
func copyHeader(out, in http.Header, left func(name string) bool) {
	listed := in["Connection"]
	for k, v := range in {
		if hopByHop[k] || left != nil && left(k) || len(listed) > 0 && lists(listed, k) {
			continue
		}
		out[k] = v
	}
}

// lists reports whether one of comma-separated values is name.
func lists(values []string, name string) bool {
	for _, v := range values {
		for part := range strings.SplitSeq(v, ",") {
			token, _, _ := strings.Cut(part, ";")
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// forwarded adds the caller to the X-Forwarded and Forwarded headers.
func (t *Try) forwarded(out http.Header) {
	host, _, err := net.SplitHostPort(t.Request.RemoteAddr)
	if err != nil {
		host = "unknown"
	}
	proto := "http"
	if t.Request.TLS != nil {
		proto = "https"
	}
	out["X-Forwarded-For"] = []string{appended(out["X-Forwarded-For"], host)}
	out["X-Forwarded-Proto"] = []string{proto}
	out["X-Forwarded-Host"] = []string{t.Request.Host}
	out["Forwarded"] = []string{appended(out["Forwarded"], element(host, t.Request.Host, proto))}
}

func appended(old []string, v string) string {
	if len(old) == 0 {
		return v
	}
	return strings.Join(old, ", ") + ", " + v
}

var quoted = strings.NewReplacer(`\`, `\\`, `"`, `\"`)

// element is one hop of a Forwarded header (RFC 7239).
func element(ip, host, proto string) string {
	if strings.Contains(ip, ":") {
		ip = `"[` + ip + `]"`
	}
	if strings.ContainsAny(host, `\"`) {
		host = quoted.Replace(host)
	}
	return "for=" + ip + `;host="` + host + `";proto=` + proto
}
