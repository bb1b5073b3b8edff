package scenario_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/emulator"
)

// site is a deployment with its table and demand.
type site struct {
	deployment emulator.Deployment
	// capacity is the number of complete call chains per second that the deepest service can answer.
	capacity   float64
	workspaces []workspace
	routes     []route
	// nestedRoutes maps the routes that upstreams call to their services.
	nestedRoutes map[string]gypsumhoist.Service
}

// workspace is one workspace with its share of the total demand.
type workspace struct {
	name  gypsumhoist.Workspace
	share float64
}

// route is one entry route with its importance and its share of the demand.
type route struct {
	path       string
	class      string
	importance int
	method     string
	share      float64
}

// Services that answer the entry routes of the sites.
const (
	derwentEntry     = "consent"
	cooperativeEntry = "floor"
)

// derwent has three failure domains in southern Tasmania and a chain of four services.
var derwent = site{
	deployment: emulator.Deployment{
		Domains: []gypsumhoist.FailureDomain{"hobart", "kingston", "huonville"},
		Services: []emulator.Service{
			{Name: derwentEntry, Upstreams: 5, Slots: 65, Connections: 500, MeanServiceTime: 30 * time.Millisecond, NestedPaths: []string{"/booking"}},
			{Name: "booking", Upstreams: 4, Slots: 40, Connections: 400, MeanServiceTime: 40 * time.Millisecond, NestedPaths: []string{"/roster"}},
			{Name: "roster", Upstreams: 4, Slots: 25, Connections: 300, MeanServiceTime: 50 * time.Millisecond, NestedPaths: []string{"/clearance"}},
			{Name: "clearance", Upstreams: 3, Slots: 15, Connections: 200, MeanServiceTime: 200 * time.Millisecond},
		},
		ControlCount:     3,
		CrossDomainDelay: time.Millisecond,
		CallerDelay:      3 * time.Millisecond,
	},
	capacity: 3 * 15 / 0.2,
	workspaces: []workspace{
		{"north-schools", 0.35},
		{"south-schools", 0.25},
		{"east", 0.1},
		{"west", 0.08},
		{"island", 0.07},
		{"private", 0.06},
		{"early-years", 0.05},
		{"special", 0.04},
	},
	routes: []route{
		{"/sign", "sign", 90, "POST", 0.2}, {"/book", "book", 60, "GET", 0.4}, {"/browse", "browse", 30, "GET", 0.4},
	},
	nestedRoutes: map[string]gypsumhoist.Service{"/booking": "booking", "/roster": "roster", "/clearance": "clearance"},
}

// cooperative has four failure domains on Mauritius, a chain of three services and a service outside of the chain, board.
var cooperative = site{
	deployment: emulator.Deployment{
		Domains: []gypsumhoist.FailureDomain{"port-louis", "moka", "flacq", "savanne"},
		Services: []emulator.Service{
			{Name: cooperativeEntry, Upstreams: 5, Slots: 75, Connections: 550, MeanServiceTime: 30 * time.Millisecond, NestedPaths: []string{"/plots"}},
			{Name: "plots", Upstreams: 4, Slots: 50, Connections: 400, MeanServiceTime: 50 * time.Millisecond, NestedPaths: []string{"/orders"}},
			{Name: "orders", Upstreams: 4, Slots: 30, Connections: 300, MeanServiceTime: 400 * time.Millisecond},
			{Name: "board", Upstreams: 4, Slots: 30, Connections: 300, MeanServiceTime: 20 * time.Millisecond},
		},
		ControlCount:     3,
		CrossDomainDelay: time.Millisecond,
		CallerDelay:      time.Millisecond,
	},
	capacity: 4 * 30 / 0.4,
	workspaces: []workspace{
		{"fairs", 0.35},
		{"builders", 0.25},
		{"crates", 0.12},
		{"lights", 0.08},
		{"carpets", 0.07},
		{"screens", 0.06},
		{"flowers", 0.04},
		{"movers", 0.03},
	},
	routes: []route{
		{"/claim", "claim", 90, "POST", 0.25}, {"/order", "order", 70, "POST", 0.25}, {"/floor", "floor", 30, "GET", 0.5},
	},
	nestedRoutes: map[string]gypsumhoist.Service{"/plots": "plots", "/orders": "orders"},
}

var sites = map[string]site{"derwent": derwent, "cooperative": cooperative}

func (si site) entry() gypsumhoist.Service { return si.deployment.Services[0].Name }

// Usual demand as a share of the capacity, and limits of the rows relative to the usual demand.
const (
	usualUtilization = 0.6
	rowHeadroom      = 2.5
	burstSeconds     = 2.0 // in seconds of the row's rate
)

// rate returns the rate of the row of a workspace and route, in requests per second.
func (si site) rate(ws workspace, rt route) float64 {
	return max(si.usualDemand(ws, rt)*rowHeadroom, 1)
}

// usualDemand returns the usual demand of a workspace on a route, in requests per second.
func (si site) usualDemand(ws workspace, rt route) float64 {
	return si.capacity * usualUtilization * ws.share * rt.share
}

func (si site) burst(ws workspace, rt route) int {
	return int(max(si.rate(ws, rt)*burstSeconds, 6))
}

// csv returns the site's table in the form that operators import.
func (si site) csv() string {
	var sb strings.Builder
	sb.WriteString("workspace,route,service,open,importance,weight,rate,burst,retries,retry_percent,idempotent,deadline,objective,cut_off,number\n")
	for _, ws := range si.workspaces {
		weight := int(max(ws.share*100, 1))
		for _, rt := range si.routes {
			fmt.Fprintf(&sb, "%s,%s,%s,false,%d,%d,%.3f,%d,3,20,by_method,5s,99.9,serve,0\n",
				ws.name, rt.path, si.entry(), rt.importance, weight, si.rate(ws, rt), si.burst(ws, rt))
		}
		for path, sv := range si.nestedRoutes {
			fmt.Fprintf(&sb, "%s,%s,%s,false,50,%d,1000,1000,3,20,by_method,5s,99.9,serve,0\n", ws.name, path, sv, weight)
		}
	}
	return sb.String()
}
