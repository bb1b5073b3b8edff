package registrar

import (
	"net"
	"strings"
)

// routes finds rows by longest path prefix; rows that name the request's host take precedence.
type routes struct {
	byHost  map[string]*paths
	anyHost *paths // rows without a host
}

func newRoutes() *routes { return &routes{byHost: map[string]*paths{}, anyHost: newPaths()} }

func (rs *routes) add(rw *Row) {
	host, path := splitRoute(rw.Route)
	if host == "" {
		rs.anyHost.add(path, rw)
		return
	}
	ps := rs.byHost[host]
	if ps == nil {
		ps = newPaths()
		rs.byHost[host] = ps
	}
	ps.add(path, rw)
}

// find searches the rows of the host with its port, then those of the host without the port, then those without a host.
func (rs *routes) find(host, path string) (*Row, bool) {
	if len(rs.byHost) == 0 {
		return rs.anyHost.find(path)
	}
	// ToLower doesn't allocate for a host that is already in lower case.
	host = strings.ToLower(host)
	if ps := rs.byHost[host]; ps != nil {
		if rw, ok := ps.find(path); ok {
			return rw, true
		}
	}
	if bare, _, err := net.SplitHostPort(host); err == nil {
		if ps := rs.byHost[bare]; ps != nil {
			if rw, ok := ps.find(path); ok {
				return rw, true
			}
		}
	}
	return rs.anyHost.find(path)
}

// paths finds rows by longest path prefix.
type paths struct {
	byPath   map[string]*Row
	depthMax int // segments in the longest path
}

func newPaths() *paths { return &paths{byPath: map[string]*Row{}} }

func (ps *paths) add(path string, rw *Row) {
	ps.byPath[path] = rw
	ps.depthMax = max(ps.depthMax, strings.Count(path, "/"))
}

// find tries the prefixes of the path, from the longest that a route can have down to "/".
// At each segment boundary the prefix that ends with "/" is tried first, as it is the longer one.
func (ps *paths) find(path string) (*Row, bool) {
	if path == "" || path[0] != '/' {
		return nil, false
	}
	var ends [RouteSegmentsMax + 1]int
	count := 0
	for at := 1; at <= len(path) && count < min(ps.depthMax, len(ends)); at++ {
		if at == len(path) || path[at] == '/' {
			ends[count] = at
			count++
		}
	}
	for count--; count >= 0; count-- {
		end := ends[count]
		if end < len(path) {
			if rw := ps.byPath[path[:end+1]]; rw != nil {
				return rw, true
			}
		}
		if rw := ps.byPath[path[:end]]; rw != nil {
			return rw, true
		}
	}
	rw := ps.byPath["/"]
	return rw, rw != nil
}
