package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxVariants limits the variants of one request that are remembered.
const maxVariants = 128

// request is what a Table knows of the requests with one path and body. Its variants differ in some of the fields.
type request struct {
	variants []*suspect
	// trials are those since the newest answer to the requests that were tried, oldest first.
	trials []requestTrial
}

// requestTrial is a trial of a refused set of requests: those that agree with a request in some fields.
type requestTrial struct {
	details Details
	fields  FieldSet
	at      time.Time
}

// maxRequestTrials limits the trials that are remembered. The interval between two no longer grows by then.
const maxRequestTrials = 16

// recordTrial records a trial of the set of requests that agree with the given one in some fields.
func (r *request) recordTrial(now time.Time, details Details, fields FieldSet) {
	if len(r.trials) >= maxRequestTrials {
		r.trials = r.trials[1:]
	}
	r.trials = append(r.trials, requestTrial{details, fields, now})
}

// trialsOf returns how often a set, a narrower or a wider one was tried, and when last.
func (r *request) trialsOf(details Details, fields FieldSet) (count int, last time.Time) {
	for _, trial := range r.trials {
		common := trial.fields & fields
		if (common == fields || common == trial.fields) && trial.details.agreement(details).includes(common) {
			count, last = count+1, trial.at
		}
	}
	return count, last
}

// lastTrialAt returns the time of the last trial, whichever requests were tried.
func (r *request) lastTrialAt() time.Time {
	if len(r.trials) == 0 {
		return time.Time{}
	}
	return r.trials[len(r.trials)-1].at
}

// forgetTrials drops the trials of the sets that a request belongs to which was answered.
func (r *request) forgetTrials(details Details) {
	r.trials = slices.DeleteFunc(r.trials, func(trial requestTrial) bool { return trial.details.agreement(details).includes(trial.fields) })
}

// countCrashes returns how many crashes count against the variants, those of several variants repeatedly.
func (r *request) countCrashes() (count int) {
	for _, v := range r.variants {
		count += v.counting
	}
	return count
}

// hasOthers reports whether more than one variant is known to have run.
func (r *request) hasOthers() bool {
	return len(r.variants) > 1 || len(r.variants[0].variantAnswers) > 0
}

// leastSuspicious returns the variant with the fewest crashes, the oldest one of several.
func (r *request) leastSuspicious() *suspect {
	return slices.MinFunc(r.variants, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.counting, b.counting), a.lastEvidenceAt.Compare(b.lastEvidenceAt))
	})
}

// description is a set of requests with one path and body: those that agree in some fields.
type description struct {
	request *request
	fields  FieldSet
	// members are the variants in the set, crashes are the ones that count against it, in order of time.
	members []*suspect
	crashes []crash
	// answered is whether an answer to a request in the set is known.
	answered bool
}

// isOneRequest reports whether the requests in the set are repetitions of one request of which no answer is known.
func (d *description) isOneRequest() bool { return d.fields.includes(identityFields) && !d.answered }

// describe returns the set of requests that agree with a variant in the given fields, given the agreement of each known
// variant with it.
func (t *Table) describe(now time.Time, r *request, agreements []FieldSet, fields FieldSet) description {
	d := description{request: r, fields: fields}
	for i, v := range r.variants {
		if !agreements[i].includes(fields) || now.Sub(v.lastEvidenceAt) >= t.config.SuspectTTL {
			continue
		}
		d.members = append(d.members, v)
		until := v.clearedUntil(fields)
		d.answered = d.answered || !until.IsZero()
		for _, c := range v.crashes {
			isKnown := func(known crash) bool { return known.backend == c.backend }
			if !c.cleared && c.at.After(until) && !slices.ContainsFunc(d.crashes, isKnown) {
				d.crashes = append(d.crashes, c)
			}
		}
	}
	slices.SortFunc(d.crashes, compareCrashes)
	return d
}

// describeAll returns the set of all requests with one path and body.
func (t *Table) describeAll(now time.Time, r *request) description {
	return t.describe(now, r, make([]FieldSet, len(r.variants)), 0)
}

// describeWith returns the set of requests with one path and body and with a value in a field.
func (t *Table) describeWith(now time.Time, r *request, field Field, value uint32) description {
	agreements := make([]FieldSet, len(r.variants))
	for i, v := range r.variants {
		if v.subject.Details[field] == value {
			agreements[i] = 1 << field
		}
	}
	return t.describe(now, r, agreements, 1<<field)
}

// descriptionsOf calls yield for the sets of requests that a request belongs to and the known variants tell apart, each
// before the narrower ones within it, until it returns false. Sets with fewer crashes than minCrashes are left out.
func (t *Table) descriptionsOf(now time.Time, r *request, details Details, minCrashes int, yield func(description) bool) {
	agreements := make([]FieldSet, len(r.variants))
	var distinct []FieldSet
	for i, v := range r.variants {
		agreements[i] = v.subject.Details.agreement(details)
		if !slices.Contains(distinct, agreements[i]) {
			distinct = append(distinct, agreements[i])
		}
	}
	for fields := range allFields + 1 {
		if !isIntersection(fields, distinct) || !hasCrashes(r.variants, agreements, fields, minCrashes) {
			continue
		}
		if d := t.describe(now, r, agreements, fields); len(d.crashes) >= minCrashes && !yield(d) {
			return
		}
	}
}

// hasCrashes reports whether the variants that agree with a request in some fields have at least a number of crashes, those of
// several variants counted repeatedly.
func hasCrashes(variants []*suspect, agreements []FieldSet, fields FieldSet, minCrashes int) bool {
	found := 0
	for i, v := range variants {
		if v.counting == 0 || !agreements[i].includes(fields) {
			continue
		}
		until := v.clearedUntil(fields)
		for _, c := range v.crashes {
			if !c.cleared && c.at.After(until) {
				found++
			}
		}
		if found >= minCrashes {
			return true
		}
	}
	return false
}

// isIntersection reports whether a set is the intersection of those of the sets that include it.
func isIntersection(fields FieldSet, sets []FieldSet) bool {
	common, found := allFields, false
	for _, set := range sets {
		if set.includes(fields) {
			common, found = common&set, true
		}
	}
	return found && common == fields
}

// findFault returns a set of requests that a request belongs to and that is at fault for crashes, none that is within
// another one. It reports false if there is none.
func (t *Table) findFault(now time.Time, subject Subject) (fault description, found bool) {
	r := t.requests[subject.Fingerprint]
	if r == nil || r.countCrashes() < t.config.MinCrashes {
		return description{}, false
	}
	t.descriptionsOf(now, r, subject.Details, t.config.MinCrashes, func(d description) bool {
		if t.isAtFault(now, &d) {
			fault, found = d, true
		}
		return !found
	})
	return fault, found
}

// isAtFault reports whether the requests in a set must be refused.
func (t *Table) isAtFault(now time.Time, d *description) bool {
	if !t.hasEnoughEvidence(d) || (d.answered && now.Sub(d.crashes[0].at) < t.config.AnsweredDelay) {
		return false
	}
	return !d.isExplainedWithin() && (d.fields.includes(identityFields) || !t.isExplainedElsewhere(now, d))
}

// hasEnoughEvidence reports whether the crashes of a set suffice to refuse its requests. If nothing else has the path and body
// of a request that was never answered, each of its crashes counts.
func (t *Table) hasEnoughEvidence(d *description) bool {
	if d.isOneRequest() && !d.request.hasOthers() {
		return len(d.crashes) >= t.config.MinCrashes
	}
	return t.countSeparate(d.crashes) >= t.config.MinCrashes+t.massEnds.extraCrashes()
}

// isExplainedWithin reports whether a narrower set, of requests that agree in one more field, explains all crashes.
func (d *description) isExplainedWithin() bool {
	for field := range FieldCount {
		if d.fields.includes(1 << field) {
			continue
		}
		for _, v := range d.members {
			if v.findCrash(d.crashes[0].backend) >= 0 && d.coversWith(field, v.subject.Details[field]) {
				return true
			}
		}
	}
	return false
}

// coversWith reports whether all crashes were of members with a value in a field.
func (d *description) coversWith(field Field, value uint32) bool {
	for _, c := range d.crashes {
		ran := func(v *suspect) bool { return v.subject.Details[field] == value && v.findCrash(c.backend) >= 0 }
		if !slices.ContainsFunc(d.members, ran) {
			return false
		}
	}
	return true
}

// isExplainedElsewhere reports whether a part of prompts, or requests outside a set, explain its crashes
// better. A set in which requests agree in their prompt explains them better than a part of it.
func (t *Table) isExplainedElsewhere(now time.Time, d *description) bool {
	knowsPrompt := d.fields.includes(1 << FieldPrompt)
	for subject, other := range t.suspects {
		isBetter := other.counting > len(d.crashes) || (other.counting == len(d.crashes) && (!subject.PromptPart || !knowsPrompt))
		isMember := !subject.PromptPart && t.requests[subject.Fingerprint] == d.request
		if isBetter && !isMember && other.covers(d.crashes) {
			return true
		}
	}
	return t.isCoveredByOthers(now, d, len(d.crashes)+1)
}

// isAmbiguousRequest reports whether other requests were present at all crashes of a set too.
func (t *Table) isAmbiguousRequest(now time.Time, d *description) bool {
	return t.isCoveredByOthers(now, d, len(d.crashes))
}

// isCoveredByOthers reports whether other requests were present at all crashes of a set, and at minCrashes at least: those with
// another path or body, or those with another value in one field.
func (t *Table) isCoveredByOthers(now time.Time, d *description, minCrashes int) bool {
	matches := func(other description) bool {
		return len(other.crashes) >= minCrashes && containsCrashes(other.crashes, d.crashes)
	}
	for field := range FieldCount {
		own := d.members[0].subject.Details[field]
		for i, v := range d.request.variants {
			value := v.subject.Details[field]
			isNew := !slices.ContainsFunc(d.request.variants[:i], func(v *suspect) bool { return v.subject.Details[field] == value })
			isOwn := d.fields.includes(1<<field) && value == own
			if !isOwn && isNew && matches(t.describeWith(now, d.request, field, value)) {
				return true
			}
		}
	}
	for _, other := range t.requests {
		if other != d.request && other.countCrashes() >= minCrashes && matches(t.describeAll(now, other)) {
			return true
		}
	}
	return false
}

// isExplainedByRequests reports whether requests that agree in path, body and prompt explain the crashes of a part of
// prompts.
func (t *Table) isExplainedByRequests(now time.Time, crashes []crash) (explained bool) {
	for _, r := range t.requests {
		if len(r.variants) < 2 || r.countCrashes() < len(crashes) {
			continue
		}
		for _, v := range r.variants {
			if v.findCrash(crashes[0].backend) < 0 {
				continue
			}
			t.descriptionsOf(now, r, v.subject.Details, len(crashes), func(d description) bool {
				explained = d.fields.includes(1<<FieldPrompt) && containsCrashes(d.crashes, crashes)
				return !explained
			})
			if explained {
				return true
			}
		}
	}
	return false
}

// countSeparate counts the crashes that aren't close to another one and no part of a mass end, given in order of time.
func (t *Table) countSeparate(crashes []crash) (separate int) {
	last := time.Time{}
	for _, c := range crashes {
		if !t.massEnds.contains(c.at) && (separate == 0 || c.at.Sub(last) >= t.config.MinCrashGap) {
			separate, last = separate+1, c.at
		}
	}
	return separate
}

// containsCrashes reports whether all of some crashes are among others.
func containsCrashes(crashes, some []crash) bool {
	return !slices.ContainsFunc(some, func(c crash) bool {
		return !slices.ContainsFunc(crashes, func(other crash) bool { return other.backend == c.backend })
	})
}
