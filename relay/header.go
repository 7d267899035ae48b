package relay

import "net/http"

// hopByHop are the headers that apply to one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// endToEnd returns the headers that are forwarded.
func endToEnd(header http.Header) http.Header {
	out := make(http.Header, len(header))
	var named map[string]bool
	for _, value := range header["Connection"] {
		for _, name := range splitNames(value) {
			if named == nil {
				named = make(map[string]bool)
			}
			named[name] = true
		}
	}
	for name, values := range header {
		if !hopByHop[name] && !named[name] {
			out[name] = values
		}
	}
	return out
}
