package crash

import (
	"context"
	"slices"
	"time"

	"bergamotreel/admission/quarantine"
	"bergamotreel/service"
)

const (
	// answerConfirmDelay is how long a backend server must run on after its answer before the answer shows
	// that the request doesn't crash it.
	answerConfirmDelay = time.Second
	// answerProbeDelay is the time from an answer to a suspect to a first look at the server.
	answerProbeDelay = 200 * time.Millisecond
)

// unconfirmedAnswer is an answer to a suspect.
type unconfirmedAnswer struct {
	subject quarantine.Subject
	at      time.Time
}

// RecordAnswer implements serving.Quarantine. A part of prompts crashes servers as they begin to write,
// so it is cleared at once, a whole request once the server has run on for answerConfirmDelay.
func (c *Detector) RecordAnswer(target service.Target, request []quarantine.Subject, success bool) {
	now := time.Now()
	end := quarantine.RunFailed
	if success {
		end = quarantine.RunAnswered
	}
	c.addRun(now, target, end, slices.Clone(request[:1]))
	if !success || !c.HasSuspects() {
		return
	}
	c.RecordProgress(request)
	c.awaitConfirmation(now, target, request[:1])
}

// RecordUnmarkedEnd implements serving.Quarantine. The end of such an answer shows nothing by itself, of the parts
// of its prompt neither: a crash ends the connection too.
func (c *Detector) RecordUnmarkedEnd(target service.Target, request []quarantine.Subject) {
	now := time.Now()
	c.addRun(now, target, quarantine.RunAnswered, slices.Clone(request))
	if c.HasSuspects() {
		c.awaitConfirmation(now, target, request)
	}
}

// awaitConfirmation clears those of the subjects that are suspects, unless the instance ends within
// answerConfirmDelay.
func (c *Detector) awaitConfirmation(now time.Time, target service.Target, subjects []quarantine.Subject) {
	instance := instanceName(target.ID, target.Started)
	c.mu.Lock()
	answers := c.unconfirmed[instance]
	wasEmpty := len(answers) == 0
	for _, subject := range subjects {
		isWaiting := slices.ContainsFunc(answers, func(a unconfirmedAnswer) bool { return a.subject == subject })
		if !isWaiting && c.suspects.IsSuspect(now, subject) && !c.runs.HasEnded(instance) {
			answers = append(answers, unconfirmedAnswer{subject, now})
		}
	}
	if len(answers) > 0 {
		c.unconfirmed[instance] = answers
	}
	c.mu.Unlock()
	if wasEmpty && len(answers) > 0 {
		c.enqueue(investigation{target: target, delay: answerProbeDelay})
		c.enqueue(investigation{target: target, delay: answerConfirmDelay, answer: true})
	}
}

// confirmAnswers clears the suspects that an instance answered answerConfirmDelay ago, unless it has
// ended since.
func (c *Detector) confirmAnswers(ctx context.Context, i investigation) {
	now := time.Now()
	runs := c.runsOn(ctx, i.target)
	instance := instanceName(i.target.ID, i.target.Started)
	var confirmed []unconfirmedAnswer
	c.mu.Lock()
	answers := c.unconfirmed[instance]
	delete(c.unconfirmed, instance)
	for runs && len(answers) > 0 && now.Sub(answers[0].at) >= answerConfirmDelay {
		confirmed = append(confirmed, answers[0])
		answers = answers[1:]
	}
	if runs && len(answers) > 0 {
		c.unconfirmed[instance] = answers
	}
	c.mu.Unlock()
	for _, answer := range confirmed {
		c.recordEvidence([]quarantine.Subject{answer.subject}, func(t *quarantine.Table, now time.Time, subjects []quarantine.Subject) []quarantine.Subject {
			return t.RecordEarlierSuccess(now, answer.at, subjects)
		})
	}
	if runs && len(answers) > 0 {
		c.enqueue(investigation{target: i.target, delay: answerConfirmDelay - now.Sub(answers[0].at), answer: true})
	}
}

// runsOn reports whether an instance of a backend server is found to run.
func (c *Detector) runsOn(ctx context.Context, target service.Target) bool {
	b, listed := c.config.Fleet.FindServer(target.ID)
	if !listed || b.Start != target.Started || c.config.Fleet.ProbeProcess(ctx, &b, false) != ProcessRuns {
		return false
	}
	if !b.IsEngine || target.Started == 0 {
		return true
	}
	start := c.queryStart(ctx, target.Address)
	if start != 0 {
		c.config.Fleet.RecordStart(target.ID, start)
	}
	return start == target.Started
}
