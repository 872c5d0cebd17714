package crash

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/pause"
	"bergamotreel/service"
)

// investigation is a backend server that may have crashed.
type investigation struct {
	// target is the instance that ran what shows it.
	target service.Target
	// service is the name of its service, needed only if it is no longer listed.
	service string
	// delay is how long to wait before it begins.
	delay time.Duration
	// answer has the instance's answers to suspects confirmed instead.
	answer bool
}

// beginInvestigation reports whether an instance has to be investigated that isn't yet: one that may have
// ended, or that has and whose next one is unknown.
func (c *Detector) beginInvestigation(target service.Target) bool {
	b, listed := c.config.Fleet.FindServer(target.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	instance := instanceName(target.ID, target.Started)
	if c.investigating[instance] || (c.runs.HasEnded(instance) && (!listed || b.Start != target.Started)) {
		return false
	}
	c.investigating[instance] = true
	return true
}

// investigate determines whether an instance of a backend server has ended, and records that it
// crashed if it has.
func (c *Detector) investigate(ctx context.Context, i investigation) {
	instance := instanceName(i.target.ID, i.target.Started)
	b, listed := c.config.Fleet.FindServer(i.target.ID)
	if !listed {
		b = Server{ID: i.target.ID, Address: i.target.Address, Service: i.service}
	}
	state := ProcessUnknown
	if listed || i.service != "" {
		state = c.probe(ctx, i.target, &b)
	}
	c.mu.Lock()
	delete(c.investigating, instance)
	ended := c.runs.HasEnded(instance)
	c.mu.Unlock()
	switch latest, _ := c.config.Fleet.FindServer(i.target.ID); {
	case ended, ctx.Err() != nil:
	case state != ProcessEnded:
		c.logUnexplained(i.target, state)
	case latest.Leaving, b.Leaving:
		c.recordAnnouncedEnd(instance)
	default:
		c.recordCrash(instance)
	}
}

// probe determines whether the process of an instance has ended, or another one has taken its place.
func (c *Detector) probe(ctx context.Context, target service.Target, b *Server) ProcessState {
	state := ProcessUnknown
	for probe := 1; probe <= maxCrashProbes && state == ProcessUnknown; probe++ {
		if !pause.For(ctx, crashProbeDelay) {
			return ProcessUnknown
		}
		state = c.config.Fleet.ProbeProcess(ctx, b, probe == maxCrashProbes)
	}
	if state == ProcessRuns && c.findNewStart(ctx, target, b) {
		return ProcessEnded
	}
	return state
}

// findNewStart asks an engine whose address accepts connections for its start, and reports whether that
// is another one than the given. An engine may be started again so soon that no probe finds it down.
func (c *Detector) findNewStart(ctx context.Context, target service.Target, b *Server) bool {
	if !b.IsEngine || target.Started == 0 {
		return false
	}
	for query := range maxStartQueries {
		if query > 0 && (!c.hasBroken(target) || !pause.For(ctx, startQueryInterval)) {
			return false
		}
		if start := c.queryStart(ctx, target.Address); start != 0 {
			c.config.Fleet.RecordStart(target.ID, start)
		}
		c.mu.Lock()
		ended := c.runs.HasEnded(instanceName(target.ID, target.Started))
		c.mu.Unlock()
		if ended {
			return true
		}
	}
	return false
}

// queryStart returns the start that an engine reports, 0 if it doesn't answer.
func (c *Detector) queryStart(ctx context.Context, address string) int64 {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := c.config.Engines.Status(ctx, address)
	if err != nil {
		return 0
	}
	return status.Started
}

// hasBroken reports whether connections to an instance broke that no known end explains.
func (c *Detector) hasBroken(target service.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs.HasBroken(instanceName(target.ID, target.Started))
}

// logUnexplained logs and counts that runs broke at an instance which is not known to have ended.
func (c *Detector) logUnexplained(target service.Target, state ProcessState) {
	if !c.hasBroken(target) {
		return
	}
	brokenRunsUnexplained.Inc()
	b, listed := c.config.Fleet.FindServer(target.ID)
	c.config.Logger.Info("connections to a backend server broke, no end of it is known", zap.String("backend", target.ID), zap.Stringer("process", state),
		zap.Bool("listed", listed), zap.Int64("started", target.Started), zap.Int64("listed_start", b.ListedStart), zap.Int64("newest_start", b.Start))
}

// instanceName identifies one start of a backend server among crashes.
func instanceName(id string, started int64) string {
	return id + "@" + strconv.FormatInt(started, 10)
}
