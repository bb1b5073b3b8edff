package registrar

import (
	"net"
	"strings"
)

// routes finds the row with the longest route that is a prefix of a path, among those of the request's host first.
type routes struct {
	byHost map[string]*paths
	any    *paths // of rows that name no host
}

func newRoutes() *routes { return &routes{byHost: map[string]*paths{}, any: newPaths()} }

func (rs *routes) add(rw *Row) {
	host, path := splitRoute(rw.Route)
	if host == "" {
		rs.any.add(path, rw)
		return
	}
	ps := rs.byHost[host]
	if ps == nil {
		ps = newPaths()
		rs.byHost[host] = ps
	}
	ps.add(path, rw)
}

// find looks among the rows of the host, with its port and then without, and last among those that name none.
func (rs *routes) find(host, path string) (*Row, bool) {
	if len(rs.byHost) == 0 {
		return rs.any.find(path)
	}
	// A host that is in lower case already costs no allocation.
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
	return rs.any.find(path)
}

// paths finds the row with the longest path that is a prefix of another path.
type paths struct {
	byPath  map[string]*Row
	deepest int // segments of the path that has most
}

func newPaths() *paths { return &paths{byPath: map[string]*Row{}} }

func (ps *paths) add(path string, rw *Row) {
	ps.byPath[path] = rw
	ps.deepest = max(ps.deepest, strings.Count(path, "/"))
}

// find tries the prefixes of the path from the longest that a route can have down to "/".
// At each border the prefix that ends with "/" goes first, as it is the longer one.
func (ps *paths) find(path string) (*Row, bool) {
	if path == "" || path[0] != '/' {
		return nil, false
	}
	var ends [RouteSegmentsMax + 1]int
	count := 0
	for at := 1; at <= len(path) && count < min(ps.deepest, len(ends)); at++ {
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
