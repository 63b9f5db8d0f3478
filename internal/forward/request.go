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

// hopByHop are the headers that apply to one connection only (RFC 9110, 7.6.1),
// besides those listed in the Connection header. The entry handles Expect itself.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Expect": true,
}

// newRequest builds the request for the target.
func (d *dispatch) newRequest(ctx context.Context) (req *http.Request, err error) {
	defer func() { err = errors.WithMessage(err, "building the request for the target") }()
	p, in := d.params, d.params.Request
	u, err := targetURL(p)
	if err != nil {
		return nil, err
	}
	out := &http.Request{
		Method:  in.Method,
		URL:     u,
		Host:    in.Host,
		Header:  d.requestHeader(),
		Trailer: p.declaredTrailer(in.Trailer),
	}
	out.Body = d.openBody(out.Trailer)
	setFraming(out, p)
	return out.WithContext(ctx), nil
}

// targetURL returns the URL of the request at the target.
func targetURL(p *DispatchParams) (u *url.URL, err error) {
	in := p.Request.URL
	u = &url.URL{Scheme: "http", Host: p.Target, Path: in.Path, RawPath: in.RawPath, RawQuery: in.RawQuery, ForceQuery: in.ForceQuery}
	if p.Path == "" {
		return u, nil
	}
	u.RawPath = p.Path
	u.Path, err = url.PathUnescape(p.Path)
	return u, err
}

// setFraming sets how the end of the body is marked. "identity" stops the
// transport from reading ahead in an empty body or sending it in chunks.
func setFraming(out *http.Request, p *DispatchParams) {
	length := size(p.Body)
	if p.Stream != nil {
		length = p.Length
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
		setEmptyLength(out)
	}
}

// setEmptyLength adds "content-length: 0" for the methods that usually have a
// body. The transport drops a Content-Length header with the canonical name, and
// it isn't given a length here, so the name is written in lower case.
func setEmptyLength(out *http.Request) {
	switch out.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		out.Header["content-length"] = []string{"0"}
	}
}

// declaredTrailer returns the trailer names to declare to the target. The values
// follow at the end of the body.
func (p *DispatchParams) declaredTrailer(in http.Header) http.Header {
	if len(in) == 0 {
		return nil
	}
	out := make(http.Header, len(in))
	for k := range in {
		if !isOwnHeader(k) && !hopByHop[k] && !p.omits(k) {
			out[k] = nil
		}
	}
	return out
}

// isOwnHeader reports whether a header is one of plumpitch's. Some servers treat
// an underscore as a hyphen, so that spelling counts as well.
func isOwnHeader(name string) bool {
	n := len(call.HeaderPrefix) - 1
	return len(name) > n && (name[n] == '-' || name[n] == '_') && strings.EqualFold(name[:n], call.HeaderPrefix[:n])
}

// omits reports whether the caller's headers and trailers of this name are not forwarded.
func (p *DispatchParams) omits(name string) bool {
	for _, o := range p.Omit {
		if equalName(o, name) {
			return true
		}
	}
	return false
}

// equalName reports whether two header names are equal without regard to case and to
// underscores in place of hyphens, as servers compare them that map headers to variables.
func equalName(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range len(a) {
		if foldNameByte(a[i]) != foldNameByte(b[i]) {
			return false
		}
	}
	return true
}

func foldNameByte(c byte) byte {
	switch {
	case c == '_':
		return '-'
	case 'A' <= c && c <= 'Z':
		return c + ('a' - 'A')
	}
	return c
}

// requestHeader returns the headers for the target. If Config.EchoHeader is set, it
// also sets d.id to the caller's id, which the target copies to its response. A caller may send
// an id again, unlike those of Dispatch.
func (d *dispatch) requestHeader() http.Header {
	if d.echoHeader == "" {
		h := d.params.targetHeader()
		h[call.HeaderRequest] = []string{d.id}
		return h
	}
	h := make(http.Header, len(d.params.Request.Header)+len(d.params.Header))
	copyHeader(h, d.params.Request.Header, d.params.skipped(nil))
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil
	}
	for k, v := range d.params.Header {
		h[k] = v
	}
	d.id = h.Get(d.echoHeader)
	d.trace.id, d.trace.idOnce = d.id, true
	return h
}

// targetHeader returns the caller's headers that the target may see, and the
// headers that plumpitch adds.
func (p *DispatchParams) targetHeader() http.Header {
	in := p.Request.Header
	out := make(http.Header, len(in)+8)
	copyHeader(out, in, p.skipped(isOwnHeader))
	if containsToken(in["Te"], "trailers") && !p.omits("Te") {
		out["Te"] = []string{"trailers"}
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil
	}
	p.addForwarded(out)
	if p.Timeout > 0 {
		out.Set(call.HeaderTimeout, p.Timeout.String())
	}
	out.Set(call.HeaderAttempt, strconv.Itoa(p.Attempt))
	out.Set(call.HeaderDepth, strconv.Itoa(p.Depth+1))
	for k, v := range p.Header {
		out[k] = v
	}
	return out
}

// skipped returns a function that reports whether a header is in Omit or skip reports it.
// It returns skip itself if Omit is empty.
func (p *DispatchParams) skipped(skip func(name string) bool) func(name string) bool {
	if len(p.Omit) == 0 {
		return skip
	}
	return func(name string) bool { return p.omits(name) || skip != nil && skip(name) }
}

// copyHeader copies the end-to-end headers. skip reports which of them to leave
// out; nil leaves out none.
func copyHeader(out, in http.Header, skip func(name string) bool) {
	connection := in["Connection"]
	for k, v := range in {
		if hopByHop[k] || skip != nil && skip(k) || len(connection) > 0 && containsToken(connection, k) {
			continue
		}
		out[k] = v
	}
}

// containsToken reports whether the comma-separated values contain name. Case and
// parameters are ignored.
func containsToken(values []string, name string) bool {
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

// addForwarded adds the caller to the X-Forwarded-* and Forwarded headers.
func (p *DispatchParams) addForwarded(out http.Header) {
	host, _, err := net.SplitHostPort(p.Request.RemoteAddr)
	if err != nil {
		host = "unknown"
	}
	proto := "http"
	if p.Request.TLS != nil {
		proto = "https"
	}
	out["X-Forwarded-For"] = []string{joinValues(out["X-Forwarded-For"], host)}
	out["X-Forwarded-Proto"] = []string{proto}
	out["X-Forwarded-Host"] = []string{p.Request.Host}
	out["Forwarded"] = []string{joinValues(out["Forwarded"], forwardedElement(host, p.Request.Host, proto))}
}

// joinValues appends v to a comma-separated list.
func joinValues(old []string, v string) string {
	if len(old) == 0 {
		return v
	}
	return strings.Join(old, ", ") + ", " + v
}

var quoteEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`)

// forwardedElement returns one element of a Forwarded header (RFC 7239).
func forwardedElement(ip, host, proto string) string {
	if strings.Contains(ip, ":") {
		ip = `"[` + ip + `]"`
	}
	if strings.ContainsAny(host, `\"`) {
		host = quoteEscaper.Replace(host)
	}
	return "for=" + ip + `;host="` + host + `";proto=` + proto
}
