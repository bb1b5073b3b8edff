package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// routeCmd shows where a request would go now.
type routeCmd struct {
	operatorFlags

	Method     string        `arg:"" help:"Method of the request."`
	Path       string        `arg:"" help:"Path of the request, with its query if it has one."`
	Host       string        `help:"Host of the request; needed for routes that begin with one."`
	Workspace  string        `help:"Workspace of the request's key; without it, the request has no key."`
	Importance *int          `help:"Importance of the request, instead of that of its row."`
	TimeLeft   time.Duration `help:"Time that the caller says it has left, if it says so."`
}

// Run prints where the request would go. Its refusal is part of what is asked for, and no error.
func (rc *routeCmd) Run() error {
	vals := url.Values{"method": {rc.Method}, "path": {rc.Path}, "host": {rc.Host}, "workspace": {rc.Workspace}}
	if rc.Importance != nil {
		vals.Set("importance", strconv.Itoa(*rc.Importance))
	}
	if rc.TimeLeft != 0 {
		vals.Set("time_left", rc.TimeLeft.String())
	}
	an, err := rc.fetch(http.MethodGet, "/route?"+vals.Encode())
	if err != nil {
		return err
	}
	var problem struct{ Error string }
	if an.status != http.StatusOK && json.Unmarshal(an.body, &problem) == nil && problem.Error != "" {
		return errors.New(problem.Error)
	}
	if an.status == http.StatusNotFound {
		return fmt.Errorf("the instance at %s is of a build without this command", rc.At)
	}
	var ra forwarder.RouteAnswer
	if err := an.decode(&ra, http.StatusOK); err != nil {
		return err
	}
	if rc.JSON {
		return rc.printBody(an)
	}
	if _, err := io.WriteString(rc.writer(), routeText(&ra)); err != nil {
		return err
	}
	for at := range ra.Services {
		if err := rc.printService(&ra.Services[at]); err != nil {
			return err
		}
	}
	return nil
}

// routeText describes what is decided of a request before its service.
func routeText(ra *forwarder.RouteAnswer) string {
	var sb strings.Builder
	age := "never confirmed"
	if ra.TableAge >= 0 {
		age = "confirmed " + short(ra.TableAge) + " ago"
	}
	fmt.Fprintf(&sb, "From %s, revision %d, %s.\n", ra.Instance, ra.Revision, age)
	if ra.RowNumber > 0 {
		fmt.Fprintf(&sb, "Row %s %s number %d: importance %d, idempotent %t, deadline %s, %d retries.\n",
			ra.Workspace, ra.Route, ra.RowNumber, ra.Importance, ra.Idempotent, short(ra.Deadline), ra.Retries)
		th := ra.Throttle
		fmt.Fprintf(&sb, "throttler  admits a share of %.2f of the class (%d requests, %d accepted, %d failed for overload in 2 s); chance of this one %.2f\n",
			th.Share, th.Requests, th.Accepted, th.Overloaded, th.Chance)
	}
	for _, rl := range ra.Limits {
		fmt.Fprintf(&sb, "limiter    %s: %g/s, burst %d; %d tokens here, %s\n", rl.Route, rl.RatePerS, rl.Burst, rl.Tokens, rl.Outlook)
	}
	if ra.Refusal != nil {
		sb.WriteString(refusalText(ra.Refusal))
	}
	return sb.String()
}

func refusalText(rf *forwarder.RouteRefusal) string {
	after := ""
	switch {
	case rf.RetryAfterMax > rf.RetryAfter:
		after = fmt.Sprintf(", Retry-After %s to %s", short(rf.RetryAfter), short(rf.RetryAfterMax))
	case rf.RetryAfter > 0:
		after = ", Retry-After " + short(rf.RetryAfter)
	}
	return fmt.Sprintf("Refused by the %s: %s (%d)%s: %s.\n", rf.Component, rf.Reason, rf.Status, after, rf.Detail)
}

// printService prints what happens to a request that goes to one service.
func (rc *routeCmd) printService(rs *forwarder.RouteService) error {
	var sb strings.Builder
	fmt.Fprintf(&sb, "\nService %s", rs.Service)
	if rs.Share < 1 {
		fmt.Fprintf(&sb, " (share %.2f of the row", rs.Share)
		if rs.Next {
			sb.WriteString(", the next request")
		}
		sb.WriteString(")")
	}
	fmt.Fprintf(&sb, "\nforecast   %s; further down the chain %s\n", outlookText(rs.Forecast), outlookText(rs.ForecastFurther))
	fmt.Fprintf(&sb, "retrier    %d retries left to the row, credit of the service for %d\n", rs.RetriesLeft, rs.RetryCredit)
	if rs.Routing.PanicMode {
		sb.WriteString("router     ignores ejections, as too many upstreams are ejected\n")
	}
	if rs.Refusal != nil {
		sb.WriteString(refusalText(rs.Refusal))
	}
	if rs.Routing.Next != "" {
		fmt.Fprintf(&sb, "The next attempt goes to %s (%s); the shares are those of the attempts after it.\n", rs.Routing.Next, rs.Routing.NextReason)
	}
	if _, err := io.WriteString(rc.writer(), sb.String()); err != nil || len(rs.Routing.Candidates) == 0 {
		return err
	}
	records := [][]string{{"share", "upstream", "failure_domain", "state", "in_flight", "load/slots", "report_age", "pace", "completion", "cost", "why"}}
	for at := range rs.Routing.Candidates {
		records = append(records, candidateRecord(&rs.Routing.Candidates[at]))
	}
	return rc.printColumns(records)
}

func outlookText(ol admitter.Outlook) string {
	if ol.CutOff == 0 {
		return "no cut-off"
	}
	text := fmt.Sprintf("cut-off %d by %d reports, the newest %s old", ol.CutOff, ol.Reports, short(ol.NewestAge))
	if ol.Below {
		text += " (the request is below it)"
	}
	return text
}

func candidateRecord(cd *router.Candidate) []string {
	report, pace, completion := "none", "", "unknown"
	if age := lowerAge(cd.UpstreamReportAge, cd.NodeReportAge); age != nil {
		report = short(*age)
	}
	if cd.Pace > 0 {
		pace = strconv.FormatFloat(cd.Pace, 'f', 2, 64)
	}
	if cd.PredictedCompletion > 0 {
		completion = short(cd.PredictedCompletion)
	}
	return []string{
		fmt.Sprintf("%.3f", cd.Share), string(cd.Instance), string(cd.Domain), cd.State, strconv.Itoa(cd.InFlight),
		fmt.Sprintf("%.1f/%d", cd.Load, cd.Slots), report, pace, completion, strconv.FormatFloat(cd.Cost, 'g', 3, 64), candidateNotes(cd),
	}
}

// lowerAge returns the lower of two ages, nil if there is none.
func lowerAge(one, two *time.Duration) *time.Duration {
	if one == nil || two != nil && *two < *one {
		return two
	}
	return one
}

// candidateNotes says why an upstream gets fewer attempts than others, or none.
func candidateNotes(cd *router.Candidate) string {
	var notes []string
	if cd.Excluded != router.ExclusionNone {
		notes = append(notes, string(cd.Excluded))
	}
	if cd.EjectedFor > 0 {
		notes = append(notes, "no probes for "+short(cd.EjectedFor))
	}
	if cd.SlowStart < 1 {
		notes = append(notes, fmt.Sprintf("slow start at %.2f", cd.SlowStart))
	}
	if cd.Saturated {
		notes = append(notes, "saturated")
	}
	if cd.Tier > 0 {
		notes = append(notes, fmt.Sprintf("tier %d", cd.Tier))
	}
	if cd.Allowance != nil {
		notes = append(notes, fmt.Sprintf("allowance %.2f", *cd.Allowance))
	}
	return strings.Join(notes, ", ")
}

// short rounds a duration for people.
func short(took time.Duration) string {
	if took < time.Second {
		return took.Round(100 * time.Microsecond).String()
	}
	return took.Round(time.Millisecond).String()
}
