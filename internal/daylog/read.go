package daylog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"
)

// maxLineBytes limits the length of a line. Lines of entry VMs stay far below it.
const maxLineBytes = 1 << 20

// Read reads all log lines and returns the day of each engine pool, by service.
func Read(from io.Reader) (map[string]*Day, error) {
	r := reader{poolLines: make(map[string]poolLine), firstAttempts: make(map[string]attemptLine), engines: make(map[string]*engineRecord), lastTimes: make(map[string]time.Time)}
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		if err := r.addText(lines.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, Error.New("line %d: %w", r.lineCount+1, err)
	}
	return r.buildDays()
}

// engineRecord merges what all VMs logged about an engine.
type engineRecord struct {
	service, domain  string
	listedAt, goneAt time.Time
	firstStatus      *engineLine
}

// reader collects the lines by kind.
type reader struct {
	lineCount, truncatedLines, droppedLines int
	begin, end                              time.Time
	poolLines                               map[string]poolLine
	modelsLines                             []modelsLine
	endLines                                []endLine
	firstAttempts                           map[string]attemptLine // the first attempt or "not sent" line, by request
	swapLines                               []swapLine
	engines                                 map[string]*engineRecord
	planningLines                           []planningLine
	maxStoreLoads                           int
	lastTimes                               map[string]time.Time // by VM
}

// maxTimeRegression is how far a line's time may lie before that of the VM's previous line;
// concurrent goroutines write lines slightly out of order.
const maxTimeRegression = 250 * time.Millisecond

// addText parses one line of text and skips it if it is no log line.
func (r *reader) addText(text []byte) error {
	r.lineCount++
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return nil
	}
	text = text[at:]
	var h lineHeader
	if err := json.Unmarshal(text, &h); err != nil {
		if bytes.HasPrefix(text, []byte(`{"level":`)) {
			r.truncatedLines++
		}
		return nil
	}
	if h.Message == "" || h.Time.IsZero() {
		return nil
	}
	if last := r.lastTimes[h.VM]; h.VM != "" && last.Sub(h.Time) > maxTimeRegression {
		return Error.New("line %d: the clock of %s went back by %v, so the times of its lines are inconsistent", r.lineCount, h.VM, last.Sub(h.Time))
	}
	r.lastTimes[h.VM] = h.Time
	if r.begin.IsZero() || h.Time.Before(r.begin) {
		r.begin = h.Time
	}
	if h.Time.After(r.end) {
		r.end = h.Time
	}
	if err := r.addLine(h.Message, text); err != nil {
		return Error.New("line %d: %w", r.lineCount, err)
	}
	return nil
}

// parse decodes a line of a known kind.
func parse[Line any](text []byte) (line Line, err error) {
	err = json.Unmarshal(text, &line)
	return line, err
}

// appendLine decodes a line of a known kind and appends it to the list.
func appendLine[Line any](list *[]Line, text []byte) error {
	line, err := parse[Line](text)
	*list = append(*list, line)
	return err
}

// addLine adds a log line by its message. Messages that Read does not need are ignored.
func (r *reader) addLine(message string, text []byte) error {
	switch message {
	case "pool planned for":
		line, err := parse[poolLine](text)
		r.poolLines[line.Service] = line
		return err
	case "models planned for":
		return appendLine(&r.modelsLines, text)
	case "request ended":
		return appendLine(&r.endLines, text)
	case "swap planned":
		return appendLine(&r.swapLines, text)
	case "planning":
		return appendLine(&r.planningLines, text)
	case "attempt", "not sent":
		line, err := parse[attemptLine](text)
		line.sent = message == "attempt"
		if before, ok := r.firstAttempts[line.Request]; !ok || line.Time.Before(before.Time) {
			r.firstAttempts[line.Request] = line
		}
		return err
	case "engine planned for", "backend server listed", "backend server gone":
		line, err := parse[engineLine](text)
		r.addEngineLine(message, &line)
		return err
	case "loads from the store bounded":
		line, err := parse[storeLimitLine](text)
		r.maxStoreLoads = max(r.maxStoreLoads, line.MaxStoreLoads)
		return err
	case "log lines dropped":
		line, err := parse[droppedLine](text)
		r.droppedLines += line.Lines
		return err
	}
	return nil
}

// addEngineLine merges what a VM logged about an engine. VMs learn of its listing and its end
// at different times, and some never do, so the earliest listing and the latest end count.
func (r *reader) addEngineLine(message string, line *engineLine) {
	id := cmp.Or(line.Engine, line.Backend)
	e := r.engines[id]
	if e == nil {
		e = &engineRecord{}
		r.engines[id] = e
	}
	e.service, e.domain = cmp.Or(e.service, line.Service), cmp.Or(e.domain, line.Domain)
	switch message {
	case "engine planned for":
		if e.firstStatus == nil || line.Time.Before(e.firstStatus.Time) {
			e.firstStatus = line
		}
	case "backend server listed":
		if e.listedAt.IsZero() || line.Time.Before(e.listedAt) {
			e.listedAt = line.Time
		}
		if line.Time.After(e.goneAt) {
			e.goneAt = time.Time{} // listed again, or learned by this VM only now
		}
	case "backend server gone":
		if line.Time.After(e.goneAt) {
			e.goneAt = line.Time
		}
	}
}

// buildDays builds one day for each pool.
func (r *reader) buildDays() (map[string]*Day, error) {
	if r.begin.IsZero() {
		return nil, Error.New("no log lines in %d lines", r.lineCount)
	}
	if len(r.poolLines) == 0 {
		return nil, Error.New("no line \"pool planned for\": the logs of the VM that planned are missing or begin too late")
	}
	out := make(map[string]*Day, len(r.poolLines))
	for service, pool := range r.poolLines {
		day, err := r.buildDay(&pool)
		if err != nil {
			return nil, Error.New("service %s: %w", service, err)
		}
		out[service] = day
	}
	return out, nil
}

func (r *reader) buildDay(pool *poolLine) (*Day, error) {
	d := &Day{
		Begin: r.begin, Length: r.end.Sub(r.begin), Service: pool.Service, CapacityBytes: pool.CapacityBytes, Models: make(map[string]Model),
		Engines: make(map[string]*Engine), MaxStoreLoads: r.maxStoreLoads,
	}
	for _, line := range r.modelsLines {
		if line.Service != pool.Service {
			continue
		}
		for _, m := range line.Models {
			d.Models[m.Name] = Model{m.Name, m.Bytes, m.FromMemory, m.FromDisk, m.FromStore}
		}
	}
	if len(d.Models) < pool.Models {
		return nil, Error.New("%d models planned for, lines \"models planned for\" name %d", pool.Models, len(d.Models))
	}
	if err := r.addEngines(d); err != nil {
		return nil, err
	}
	r.addRequests(d)
	r.addSwaps(d)
	r.addPlanners(d)
	return d, r.checkComplete(d)
}

// maxMissingEndShare is the share of requests whose end may be missing: a killed VM logs no
// end for the requests it had in flight.
const maxMissingEndShare = 0.02

// checkComplete returns an error if lines are missing that an analysis depends on.
func (r *reader) checkComplete(d *Day) error {
	if len(d.Requests) == 0 {
		return Error.New("no line \"request ended\" for a model of this pool")
	}
	if r.droppedLines > 0 {
		return Error.New("%d log lines were dropped by their VMs", r.droppedLines)
	}
	ended := make(map[string]bool, len(r.endLines))
	for i := range r.endLines {
		ended[r.endLines[i].Request] = true
	}
	unfinished := 0
	for id, attempt := range r.firstAttempts {
		if attempt.sent && !ended[id] {
			unfinished++
		}
	}
	if float64(unfinished) > maxMissingEndShare*float64(len(r.endLines)) {
		return Error.New("%d requests were sent to an engine without a line \"request ended\" (%d have one): lines are missing", unfinished, len(r.endLines))
	}
	if r.truncatedLines > 1 {
		return Error.New("%d lines break off before their end", r.truncatedLines)
	}
	return nil
}

// maxTimeWithoutStatus is how long an engine may be listed without any VM learning what it
// holds. The day of an engine that was listed for longer would be unknown.
const maxTimeWithoutStatus = 10 * time.Second

func (r *reader) addEngines(d *Day) error {
	for id, record := range r.engines {
		if record.service != d.Service {
			continue
		}
		e := &Engine{ID: id, Domain: record.domain, GoneAt: d.Length}
		if !record.listedAt.IsZero() {
			e.ListedAt = record.listedAt.Sub(d.Begin)
		}
		if !record.goneAt.IsZero() {
			e.GoneAt = record.goneAt.Sub(d.Begin)
		}
		if record.firstStatus != nil {
			e.HasStatus, e.StatusAt = true, record.firstStatus.Time.Sub(d.Begin)
			e.Models, e.InMemory, e.OnDisk = record.firstStatus.Models, record.firstStatus.InMemory, record.firstStatus.OnDisk
		} else if e.GoneAt-e.ListedAt > maxTimeWithoutStatus {
			return Error.New("engine %s was listed for %v and no line \"engine planned for\" says what it held", id, e.GoneAt-e.ListedAt)
		}
		d.Engines[id] = e
	}
	if len(d.Engines) == 0 {
		return Error.New("no line \"backend server listed\" for an engine")
	}
	return nil
}

func (r *reader) addRequests(d *Day) {
	for i := range r.endLines {
		end := &r.endLines[i]
		if _, known := d.Models[end.Model]; end.Service != d.Service || !known || end.Allowed <= 0 {
			continue
		}
		request := Request{
			ID: end.Request, VM: end.VM, Route: end.Route, Model: end.Model, Code: end.Code, Target: time.Duration(end.Target), Allowed: time.Duration(end.Allowed),
			ArrivedAt: end.Time.Add(-time.Duration(end.Duration)).Sub(d.Begin), EndedAt: end.Time.Sub(d.Begin),
			Answered: end.TimeToFirstToken > 0, TimeToFirstToken: time.Duration(end.TimeToFirstToken), RetryAfter: time.Duration(end.RetryAfter),
		}
		if attempt, ok := r.firstAttempts[end.Request]; ok {
			request.Sent, request.ReadyAtArrival, request.QueueTime = attempt.sent, attempt.ReadyAtArrival, time.Duration(attempt.QueueTime)
		}
		d.Requests = append(d.Requests, request)
	}
	slices.SortFunc(d.Requests, func(a, b Request) int { return cmp.Or(cmp.Compare(a.ArrivedAt, b.ArrivedAt), cmp.Compare(a.ID, b.ID)) })
	matchRetries(d.Requests)
}

// maxDeadlineDifference is how far apart the deadlines of one caller's attempts usually appear.
// Each attempt states how long the caller still waits and has a network delay of its own.
const maxDeadlineDifference = 60 * time.Millisecond

// matchRetries marks the retries of requests that were not answered. Logs do not identify
// callers, so a later request of the same kind and deadline is taken for a retry. Each request
// is the retry of at most one other.
func matchRetries(requests []Request) {
	byDeadline := make(map[requestKind][]int)
	for i := range requests {
		byDeadline[requests[i].kind()] = append(byDeadline[requests[i].kind()], i)
	}
	for _, list := range byDeadline {
		slices.SortFunc(list, func(a, b int) int { return cmp.Compare(requests[a].deadline(), requests[b].deadline()) })
	}
	for i := range requests {
		if r := &requests[i]; !r.IsOK() {
			if at, ok := findRetry(requests, byDeadline[r.kind()], i); ok {
				requests[at].IsRetry, r.RetryIndex = true, at
			}
		}
	}
}

// findRetry finds the first request after the end of request i that has the same deadline.
func findRetry(requests []Request, byDeadline []int, i int) (found int, ok bool) {
	r := &requests[i]
	from, _ := slices.BinarySearchFunc(byDeadline, r.deadline()-maxDeadlineDifference, func(at int, t time.Duration) int {
		return cmp.Compare(requests[at].deadline(), t)
	})
	for _, at := range byDeadline[from:] {
		next := &requests[at]
		if next.deadline() > r.deadline()+maxDeadlineDifference {
			break
		}
		if at > i && !next.IsRetry && next.ArrivedAt >= r.EndedAt && (!ok || at < found) {
			found, ok = at, true
		}
	}
	return found, ok
}

func (r *reader) addSwaps(d *Day) {
	for i := range r.swapLines {
		s := &r.swapLines[i]
		if s.Service != d.Service {
			continue
		}
		d.Swaps = append(d.Swaps, Swap{Engine: s.Engine, Load: s.Load, Unload: s.Unload, Source: s.Source, LoadTime: time.Duration(s.LoadTime),
			PlannedAt: s.Time.Sub(d.Begin), Started: s.Started, Purpose: s.Purpose})
	}
	slices.SortFunc(d.Swaps, func(a, b Swap) int {
		return cmp.Or(cmp.Compare(a.PlannedAt, b.PlannedAt), cmp.Compare(a.Engine, b.Engine))
	})
}

// addPlanners finds which VMs planned and for how long more than one did.
func (r *reader) addPlanners(d *Day) {
	slices.SortFunc(r.planningLines, func(a, b planningLine) int { return a.Time.Compare(b.Time) })
	planning := make(map[string]bool)
	seen := make(map[string]bool)
	var last time.Time
	for _, line := range r.planningLines {
		if len(planning) > 1 {
			d.PlannerOverlap += line.Time.Sub(last)
		}
		last = line.Time
		if line.ByThisVM {
			planning[line.VM], seen[line.VM] = true, true
		} else {
			delete(planning, line.VM)
		}
	}
	d.Planners = slices.Sorted(maps.Keys(seen))
}
