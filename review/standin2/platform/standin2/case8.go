package main

import (
	"fmt"
	"net/http"
	"time"
)

// nestedRoute shows whether a request without a key follows a new configuration that adds a route with keys below a public route.
//
// By the longest prefix, requests below the new route belong to the new route, which is not public.
func nestedRoute(rc *record, trouble bool) (bool, error) {
	dp, err := newDeployment(rc, []string{"a", "b", "c"}, nodeSpec{"a", "noticeboard"}, nodeSpec{"b", "consent"}, nodeSpec{"c", "consent"})
	if err != nil {
		return false, err
	}
	defer dp.stop()
	if err := dp.startAll(); err != nil {
		return false, err
	}
	var backends []*backend
	for ix, mc := range dp.nodes {
		bk, err := newBackend(mc, fmt.Sprintf("i-%08x", 0x7f3a91c2+ix))
		if err != nil {
			return false, err
		}
		defer bk.end()
		bk.beat()
		backends = append(backends, bk)
	}
	if _, err := dp.put(publicConfiguration(1, 0, false), 20*time.Second); err != nil {
		return false, err
	}
	for _, mc := range dp.nodes {
		if err := mc.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	for _, mc := range dp.nodes {
		if an := mc.sendAs("", "GET", "/notices/consent/7", nil); an.status != http.StatusOK {
			return false, fmt.Errorf("before the change a request got %d %v", an.status, an.err)
		}
	}
	if trouble {
		status, err := dp.put(publicConfiguration(2, 1, true), 20*time.Second)
		if err != nil || status != http.StatusOK {
			return false, fmt.Errorf("the change was answered with %d: %w", status, err)
		}
	}
	const configApply = 2 * time.Second
	time.Sleep(2 * configApply)
	from := time.Now()
	for range 10 {
		for _, mc := range dp.nodes {
			mc.sendAs("", "GET", "/notices/consent/7", nil)
			mc.sendAs(apiKey, "GET", "/notices/consent/8", nil)
		}
	}
	if !trouble {
		return false, nil
	}
	wrong := 0
	for _, ar := range backends[0].ranSince(from) {
		if ar.header.Get("X-Gypsumhoist-Tenant") == "" {
			wrong++
		}
	}
	rc.note("%d of 30 requests without a key ran at the old service, later than %v after the change was acknowledged", wrong, configApply)
	return wrong > 0, nil
}

// publicConfiguration returns a document with a public route and, if nested is set, a route with keys below it that leads to another service.
func publicConfiguration(version, base int, nested bool) string {
	common := `"type":"safe","timeoutS":5,"targetLatencyS":2,"priority":0,"maxAttempts":2`
	routes := `"r-notices":{"host":"` + hostName + `","pathPrefix":"/notices/",` + common + `,"service":"noticeboard","public":true}`
	if nested {
		routes += `,"r-consent":{"host":"` + hostName + `","pathPrefix":"/notices/consent/",` + common + `,"service":"consent","public":false}`
	}
	def := `{"healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false}`
	return fmt.Sprintf(`{"version":%d,"routes":{%s},"services":{"noticeboard":%s,"consent":%s},`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},`+
		`"tenants":{"pulo780":{"apiKeys":["%s"],"priority":1}},"baseVersion":%d}`, version, routes, def, def, apiKey, base)
}
