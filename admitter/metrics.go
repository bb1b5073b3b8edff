package admitter

// register adds the admitter's gauges to its set.
func (ad *Admitter) register() {
	if ad.metrics == nil {
		return
	}
	ad.gauge("gypsumhoist_admitter_in_flight_requests", func(ld Load) float64 { return float64(ld.InFlight) })
	ad.gauge("gypsumhoist_admitter_waiting_requests", func(ld Load) float64 { return float64(ld.Waiting) })
	ad.gauge("gypsumhoist_admitter_limit_requests", func(ld Load) float64 { return float64(ld.Limit) })
	ad.gauge("gypsumhoist_admitter_slots_requests", func(ld Load) float64 { return float64(ld.Slots) })
	ad.gauge("gypsumhoist_admitter_cut_off_importance", func(ld Load) float64 { return float64(ld.CutOff) })
	ad.gauge("gypsumhoist_admitter_joint_level_rank", func(ld Load) float64 { return ld.JointLevel })
	ad.gauge("gypsumhoist_admitter_service_time_seconds", func(ld Load) float64 { return ld.ServiceTime.Seconds() })
	ad.gauge("gypsumhoist_admitter_rate_limit_per_second", func(ld Load) float64 { return ld.RateLimit.PerSecond() })
	ad.counter("gypsumhoist_admitter_shed_requests_total", func(co *Core) uint64 { return co.refusals.overload })
	ad.counter("gypsumhoist_admitter_joint_requests_total", func(co *Core) uint64 { return co.refusals.joint })
	ad.counter("gypsumhoist_admitter_evicted_requests_total", func(co *Core) uint64 { return co.refusals.evicted })
	ad.metrics.NewGauge("gypsumhoist_admitter_overtaken_requests_total", func() float64 {
		ad.mu.Lock()
		defer ad.mu.Unlock()
		return float64(ad.reclaimed)
	})
	ad.counter("gypsumhoist_admitter_late_requests_total", func(co *Core) uint64 { return co.refusals.deadline })
	ad.counter("gypsumhoist_admitter_committed_requests_total", func(co *Core) uint64 { return co.committed })
	ad.counter("gypsumhoist_admitter_impatient_requests_total", func(co *Core) uint64 { return co.urgent })
}

func (ad *Admitter) gauge(name string, read func(Load) float64) {
	ad.metrics.NewGauge(name, func() float64 { return read(ad.Load()) })
}

func (ad *Admitter) counter(name string, read func(*Core) uint64) {
	ad.metrics.NewGauge(name, func() float64 {
		ad.mu.Lock()
		defer ad.mu.Unlock()
		return float64(read(ad.core))
	})
}
