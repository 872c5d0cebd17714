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

// lineMost bounds a line; the entry VMs' stay far below it.
const lineMost = 1 << 20

// Read reads all lines and returns the day of each engine pool, by service.
func Read(from io.Reader) (map[string]*Day, error) {
	r := reader{pools: make(map[string]poolLine), attempts: make(map[string]attemptLine), engines: make(map[string]*seenEngine), lastOf: make(map[string]time.Time)}
	lines := bufio.NewScanner(from)
	lines.Buffer(make([]byte, 0, 64<<10), lineMost)
	for lines.Scan() {
		if err := r.line(lines.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, Error.New("line %d: %w", r.count+1, err)
	}
	return r.days()
}

// head is what all lines have.
type head struct {
	Time    time.Time `json:"ts"`
	Message string    `json:"msg"`
	VM      string    `json:"vm"`
}

// duration is a time.Duration as the logs write it.
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = duration(parsed)
	return err
}

type poolLine struct {
	head
	Service string `json:"service"`
	Room    int64  `json:"room"`
	Models  int    `json:"models"`
}

type modelsLine struct {
	head
	Service string `json:"service"`
	Models  []struct {
		Name       string        `json:"name"`
		Bytes      int64         `json:"bytes"`
		FromMemory time.Duration `json:"from_memory_ns"`
		FromDisk   time.Duration `json:"from_disk_ns"`
		FromStore  time.Duration `json:"from_store_ns"`
	} `json:"models"`
}

type endLine struct {
	head
	Request    string   `json:"request"`
	Route      string   `json:"route"`
	Service    string   `json:"service"`
	Model      string   `json:"model"`
	Code       string   `json:"code"`
	Status     int      `json:"status"`
	Took       duration `json:"took"`
	Target     duration `json:"target"`
	Allowed    duration `json:"allowed"`
	First      duration `json:"first"`
	RetryAfter duration `json:"retry_after"`
}

type attemptLine struct {
	head
	Request        string   `json:"request"`
	ReadyAtArrival bool     `json:"ready_at_arrival"`
	Waited         duration `json:"waited"`
	sent           bool
}

type swapLine struct {
	head
	Service string   `json:"service"`
	Engine  string   `json:"engine"`
	Load    string   `json:"load"`
	Unload  []string `json:"unload"`
	Source  string   `json:"source"`
	Takes   duration `json:"takes"`
	Begun   bool     `json:"begun"`
	Purpose string   `json:"purpose"`
}

type engineLine struct {
	head
	Engine   string   `json:"engine"`
	Backend  string   `json:"backend"`
	Service  string   `json:"service"`
	Domain   string   `json:"domain"`
	Models   []string `json:"models"`
	InMemory []string `json:"in_memory"`
	OnDisk   []string `json:"on_disk"`
}

type planningLine struct {
	head
	ByThisVM bool `json:"by_this_vm"`
}

type boundedLine struct {
	head
	AtOnce int `json:"at_once"`
}

type droppedLine struct {
	head
	Lines int `json:"lines"`
}

// seenEngine is an engine as all VMs tell of it.
type seenEngine struct {
	service, domain string
	listed, gone    time.Time
	learned         *engineLine
}

// reader gathers lines.
type reader struct {
	count, cut, dropped int
	begin, end          time.Time
	pools               map[string]poolLine
	models              []modelsLine
	ends                []endLine
	attempts            map[string]attemptLine // the first of each request
	swaps               []swapLine
	engines             map[string]*seenEngine
	planning            []planningLine
	atOnce              int
	lastOf              map[string]time.Time // by VM
}

// clockSlack is how far a VM's lines may be out of order: goroutines write them.
const clockSlack = 250 * time.Millisecond

// line takes one line; lines that are no log lines are passed over.
func (r *reader) line(text []byte) error {
	r.count++
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return nil
	}
	text = text[at:]
	var h head
	if err := json.Unmarshal(text, &h); err != nil {
		if bytes.HasPrefix(text, []byte(`{"level":`)) {
			r.cut++
		}
		return nil
	}
	if h.Message == "" || h.Time.IsZero() {
		return nil
	}
	if last := r.lastOf[h.VM]; h.VM != "" && last.Sub(h.Time) > clockSlack {
		return Error.New("line %d: the clock of %s went back by %v, so that what its lines tell of times can't be put together", r.count, h.VM, last.Sub(h.Time))
	}
	r.lastOf[h.VM] = h.Time
	if r.begin.IsZero() || h.Time.Before(r.begin) {
		r.begin = h.Time
	}
	if h.Time.After(r.end) {
		r.end = h.Time
	}
	if err := r.take(h.Message, text); err != nil {
		return Error.New("line %d: %w", r.count, err)
	}
	return nil
}

// parse reads a line of a known kind.
func parse[Line any](text []byte) (line Line, err error) {
	err = json.Unmarshal(text, &line)
	return line, err
}

// gather adds a line of a known kind to those before it.
func gather[Line any](list *[]Line, text []byte) error {
	line, err := parse[Line](text)
	*list = append(*list, line)
	return err
}

func (r *reader) take(message string, text []byte) error {
	switch message {
	case "pool planned for":
		line, err := parse[poolLine](text)
		r.pools[line.Service] = line
		return err
	case "models planned for":
		return gather(&r.models, text)
	case "request ended":
		return gather(&r.ends, text)
	case "swap planned":
		return gather(&r.swaps, text)
	case "planning":
		return gather(&r.planning, text)
	case "attempt", "not sent":
		line, err := parse[attemptLine](text)
		line.sent = message == "attempt"
		if before, ok := r.attempts[line.Request]; !ok || line.Time.Before(before.Time) {
			r.attempts[line.Request] = line
		}
		return err
	case "engine planned for", "backend server listed", "backend server gone":
		line, err := parse[engineLine](text)
		r.engine(message, &line)
		return err
	case "loads from the store bounded":
		line, err := parse[boundedLine](text)
		r.atOnce = max(r.atOnce, line.AtOnce)
		return err
	case "log lines dropped":
		line, err := parse[droppedLine](text)
		r.dropped += line.Lines
		return err
	}
	return nil
}

// engine takes what a VM tells of an engine. The first word of its listing and the last of
// its end count: VMs hear of both at different times, and some never do.
func (r *reader) engine(message string, line *engineLine) {
	id := cmp.Or(line.Engine, line.Backend)
	e := r.engines[id]
	if e == nil {
		e = &seenEngine{}
		r.engines[id] = e
	}
	e.service, e.domain = cmp.Or(e.service, line.Service), cmp.Or(e.domain, line.Domain)
	switch message {
	case "engine planned for":
		if e.learned == nil || line.Time.Before(e.learned.Time) {
			e.learned = line
		}
	case "backend server listed":
		if e.listed.IsZero() || line.Time.Before(e.listed) {
			e.listed = line.Time
		}
		if line.Time.After(e.gone) {
			e.gone = time.Time{} // it was back, or known to this VM only now
		}
	case "backend server gone":
		if line.Time.After(e.gone) {
			e.gone = line.Time
		}
	}
}

// days puts together what was read, one day for each pool.
func (r *reader) days() (map[string]*Day, error) {
	if r.begin.IsZero() {
		return nil, Error.New("no log lines in %d lines", r.count)
	}
	if len(r.pools) == 0 {
		return nil, Error.New("no line \"pool planned for\": the logs of the VM that planned are missing, or begin after it did")
	}
	out := make(map[string]*Day, len(r.pools))
	for service, pool := range r.pools {
		day, err := r.day(&pool)
		if err != nil {
			return nil, Error.New("service %s: %w", service, err)
		}
		out[service] = day
	}
	return out, nil
}

func (r *reader) day(pool *poolLine) (*Day, error) {
	d := &Day{
		Begin: r.begin, Length: r.end.Sub(r.begin), Service: pool.Service, CapacityBytes: pool.Room, Models: make(map[string]Model),
		Engines: make(map[string]*Engine), MaxStoreLoads: r.atOnce,
	}
	for _, line := range r.models {
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
	return d, r.complete(d)
}

// missingMost is the share of requests whose end may be missing: a VM that is killed tells
// of none of those that it had.
const missingMost = 0.02

// complete fails where the lines have a hole that a judgement would fall into.
func (r *reader) complete(d *Day) error {
	if len(d.Requests) == 0 {
		return Error.New("no line \"request ended\" of a model of this pool")
	}
	if r.dropped > 0 {
		return Error.New("%d log lines were dropped by their VMs", r.dropped)
	}
	ended := make(map[string]bool, len(r.ends))
	for i := range r.ends {
		ended[r.ends[i].Request] = true
	}
	open := 0
	for id, attempt := range r.attempts {
		if attempt.sent && !ended[id] {
			open++
		}
	}
	if float64(open) > missingMost*float64(len(r.ends)) {
		return Error.New("%d requests were sent to an engine and no line tells how they ended (%d do): lines are missing", open, len(r.ends))
	}
	if r.cut > 1 {
		return Error.New("%d lines break off in the middle", r.cut)
	}
	return nil
}

// learnedWithin is how long after its listing an engine must have been asked what it holds,
// by some VM, for its day to be known.
const learnedWithin = 10 * time.Second

func (r *reader) addEngines(d *Day) error {
	for id, seen := range r.engines {
		if seen.service != d.Service {
			continue
		}
		e := &Engine{ID: id, Domain: seen.domain, GoneAt: d.Length}
		if !seen.listed.IsZero() {
			e.ListedAt = seen.listed.Sub(d.Begin)
		}
		if !seen.gone.IsZero() {
			e.GoneAt = seen.gone.Sub(d.Begin)
		}
		if seen.learned != nil {
			e.HasStatus, e.StatusAt = true, seen.learned.Time.Sub(d.Begin)
			e.Models, e.InMemory, e.OnDisk = seen.learned.Models, seen.learned.InMemory, seen.learned.OnDisk
		} else if e.GoneAt-e.ListedAt > learnedWithin {
			return Error.New("engine %s was listed for %v and no line \"engine planned for\" tells what it held", id, e.GoneAt-e.ListedAt)
		}
		d.Engines[id] = e
	}
	if len(d.Engines) == 0 {
		return Error.New("no line \"backend server listed\" of an engine")
	}
	return nil
}

func (r *reader) addRequests(d *Day) {
	for i := range r.ends {
		end := &r.ends[i]
		if _, known := d.Models[end.Model]; end.Service != d.Service || !known || end.Allowed <= 0 {
			continue
		}
		request := Request{
			ID: end.Request, VM: end.VM, Route: end.Route, Model: end.Model, Code: end.Code, Target: time.Duration(end.Target), Allowed: time.Duration(end.Allowed),
			ArrivedAt: end.Time.Add(-time.Duration(end.Took)).Sub(d.Begin), EndedAt: end.Time.Sub(d.Begin),
			Answered: end.First > 0, TimeToFirstToken: time.Duration(end.First), RetryAfter: time.Duration(end.RetryAfter),
		}
		if attempt, ok := r.attempts[end.Request]; ok {
			request.Sent, request.ReadyAtArrival, request.QueueTime = attempt.sent, attempt.ReadyAtArrival, time.Duration(attempt.Waited)
		}
		d.Requests = append(d.Requests, request)
	}
	slices.SortFunc(d.Requests, func(a, b Request) int { return cmp.Or(cmp.Compare(a.ArrivedAt, b.ArrivedAt), cmp.Compare(a.ID, b.ID)) })
	matchReturns(d.Requests)
}

// sameDeadline is how far apart the deadlines of a caller's tries are seen, as a rule: it
// says how long it still waits, and each try has its own way here.
const sameDeadline = 60 * time.Millisecond

// matchReturns marks the requests of callers whose first try was not answered and who came
// back. Logs do not name callers, but who asks for the same by the same moment is the same
// one, or as good as that; each request is one return at the most.
func matchReturns(requests []Request) {
	byEnd := make(map[kind][]int)
	for i := range requests {
		byEnd[requests[i].kind()] = append(byEnd[requests[i].kind()], i)
	}
	for _, list := range byEnd {
		slices.SortFunc(list, func(a, b int) int { return cmp.Compare(requests[a].deadline(), requests[b].deadline()) })
	}
	for i := range requests {
		if r := &requests[i]; !r.IsOK() {
			if at, ok := findReturn(requests, byEnd[r.kind()], i); ok {
				requests[at].IsRetry, r.RetryIndex = true, at
			}
		}
	}
}

// findReturn finds the first try after request i that has its deadline.
func findReturn(requests []Request, byEnd []int, i int) (found int, ok bool) {
	r := &requests[i]
	from, _ := slices.BinarySearchFunc(byEnd, r.deadline()-sameDeadline, func(at int, t time.Duration) int {
		return cmp.Compare(requests[at].deadline(), t)
	})
	for _, at := range byEnd[from:] {
		next := &requests[at]
		if next.deadline() > r.deadline()+sameDeadline {
			break
		}
		if at > i && !next.IsRetry && next.ArrivedAt >= r.EndedAt && (!ok || at < found) {
			found, ok = at, true
		}
	}
	return found, ok
}

func (r *reader) addSwaps(d *Day) {
	for i := range r.swaps {
		s := &r.swaps[i]
		if s.Service != d.Service {
			continue
		}
		d.Swaps = append(d.Swaps, Swap{Engine: s.Engine, Load: s.Load, Unload: s.Unload, Source: s.Source, LoadTime: time.Duration(s.Takes),
			PlannedAt: s.Time.Sub(d.Begin), Started: s.Begun, Purpose: s.Purpose})
	}
	slices.SortFunc(d.Swaps, func(a, b Swap) int {
		return cmp.Or(cmp.Compare(a.PlannedAt, b.PlannedAt), cmp.Compare(a.Engine, b.Engine))
	})
}

// addPlanners works out who planned and for how long two did.
func (r *reader) addPlanners(d *Day) {
	slices.SortFunc(r.planning, func(a, b planningLine) int { return a.Time.Compare(b.Time) })
	planning := make(map[string]bool)
	seen := make(map[string]bool)
	var last time.Time
	for _, line := range r.planning {
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
