package contract

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"bergamotreel/internal/strictini"
)

// field parses one key of a section into a T.
type field[T any] struct {
	key      string
	required bool
	set      func(target *T, value string) error
}

// setFields parses the section's keys into target, in the order of fields, and
// returns all problems.
func setFields[T any](section strictini.Section, fields []field[T], target *T) []*Problem {
	var problems []*Problem
	known := map[string]bool{}
	for _, f := range fields {
		known[f.key] = true
	}
	for _, key := range section.Keys {
		if !known[key.Name] {
			problems = append(problems, &Problem{Section: section.Name, Key: key.Name, Reason: "unknown key"})
		}
	}
	for _, f := range fields {
		value, ok := section.Get(f.key)
		if !ok && !f.required {
			continue
		}
		if value == "" {
			problems = append(problems, &Problem{Section: section.Name, Key: f.key, Reason: "missing"})
			continue
		}
		if err := f.set(target, value); err != nil {
			problems = append(problems, &Problem{Section: section.Name, Key: f.key, Reason: err.Error()})
		}
	}
	return problems
}

func intField[T any](key string, minValue, maxValue int, ptr func(*T) *int) field[T] {
	return field[T]{key: key, set: func(target *T, value string) (err error) {
		*ptr(target), err = strictini.ParseInt(value, minValue, maxValue)
		return err
	}}
}

func waitField[T any](ptr func(*T) *time.Duration) field[T] {
	return field[T]{key: "max_wait", set: func(target *T, value string) (err error) {
		*ptr(target), err = strictini.ParseDuration(value, MinWait, MaxWaitLimit)
		return err
	}}
}

func memoryField[T any](ptr func(*T) *int64) field[T] {
	return field[T]{key: "memory", required: true, set: func(target *T, value string) (err error) {
		*ptr(target), err = strictini.ParseBytes(value, 1, MaxMemoryBytes)
		return err
	}}
}

func priorityField[T any](ptr func(*T) *int) field[T] {
	return intField("priority", -MaxPriority, MaxPriority, ptr)
}

func textField[T any](key string, check func(string) string, ptr func(*T) *string) field[T] {
	return field[T]{key: key, required: true, set: func(target *T, value string) error {
		if reason := check(value); reason != "" {
			return errors.New(reason)
		}
		*ptr(target) = value
		return nil
	}}
}

func defaultContract() *Contract {
	return &Contract{
		Weight:            DefaultWeight,
		RequestsPerSecond: DefaultRequestsPerSecond,
		Burst:             DefaultBurst,
		MaxQueued:         DefaultMaxQueued,
	}
}

var customerFields = []field[Contract]{
	textField("name", checkCustomerName, func(c *Contract) *string { return &c.Customer }),
	memoryField(func(c *Contract) *int64 { return &c.MemoryBytes }),
	intField("weight", 1, MaxWeight, func(c *Contract) *int { return &c.Weight }),
	{key: "requests_per_second", set: func(c *Contract, value string) (err error) {
		c.RequestsPerSecond, err = strictini.ParseFloat(value, 0.001, MaxRequestsPerSecond)
		return err
	}},
	intField("burst", 1, MaxBurst, func(c *Contract) *int { return &c.Burst }),
	intField("max_queued", 1, MaxQueuedLimit, func(c *Contract) *int { return &c.MaxQueued }),
}

func checkCustomerName(name string) string {
	return checkCharacters("name", name, MaxNameLength, "-_")
}

var keyFields = []field[Key]{
	textField("sha256", checkHash, func(k *Key) *string { return &k.SHA256 }),
	priorityField(func(k *Key) *int { return &k.Priority }),
}

// hashLength is the length of a SHA-256 hash in hexadecimal digits.
const hashLength = 64

func checkHash(hash string) string {
	if len(hash) != hashLength || strings.Trim(hash, "0123456789abcdef") != "" {
		return fmt.Sprintf("want %d lower-case hex digits", hashLength)
	}
	return ""
}

func defaultModel(name string) Model {
	return Model{Name: name, MaxReplicas: DefaultMaxReplicas, MaxWait: DefaultModelMaxWait}
}

var modelFields = []field[Model]{
	textField("checkpoint", checkCheckpoint, func(m *Model) *string { return &m.Checkpoint }),
	memoryField(func(m *Model) *int64 { return &m.MemoryBytes }),
	intField("max_replicas", 0, MaxReplicasLimit, func(m *Model) *int { return &m.MaxReplicas }),
	intField("min_replicas", 0, MaxReplicasLimit, func(m *Model) *int { return &m.MinReplicas }),
	intField("standby_per_domain", 0, MaxReplicasLimit, func(m *Model) *int { return &m.StandbyPerDomain }),
	waitField(func(m *Model) *time.Duration { return &m.MaxWait }),
	priorityField(func(m *Model) *int { return &m.Priority }),
}

func checkCheckpoint(name string) string {
	return checkCharacters("checkpoint", name, MaxCheckpointLength, "-_./:@+")
}

func defaultAdapter(name string) Adapter {
	return Adapter{Name: name, MaxReplicas: DefaultMaxReplicas, MaxWait: DefaultModelMaxWait}
}

var adapterFields = []field[Adapter]{
	textField("base", checkName, func(a *Adapter) *string { return &a.Base }),
	textField("checkpoint", checkCheckpoint, func(a *Adapter) *string { return &a.Checkpoint }),
	memoryField(func(a *Adapter) *int64 { return &a.MemoryBytes }),
	intField("max_replicas", 0, MaxReplicasLimit, func(a *Adapter) *int { return &a.MaxReplicas }),
	waitField(func(a *Adapter) *time.Duration { return &a.MaxWait }),
	priorityField(func(a *Adapter) *int { return &a.Priority }),
}

func defaultService(name string) Service {
	return Service{Name: name, MaxWait: DefaultServiceMaxWait}
}

var serviceFields = []field[Service]{
	waitField(func(s *Service) *time.Duration { return &s.MaxWait }),
	priorityField(func(s *Service) *int { return &s.Priority }),
	{key: "once", set: func(s *Service, value string) (err error) {
		s.Once, err = parseOnce(value)
		return err
	}},
}

// parseOnce parses a comma-separated list of call patterns, such as
// "POST /book, POST /confirm".
func parseOnce(value string) ([]CallPattern, error) {
	var patterns []CallPattern
	for part := range strings.SplitSeq(value, ",") {
		fields := strings.Fields(part)
		if len(fields) != 2 {
			return nil, fmt.Errorf("bad call %s: want a method and a path, as POST /book", strconv.Quote(strings.TrimSpace(part)))
		}
		pattern := CallPattern{Method: fields[0], Path: fields[1]}
		if reason := pattern.check(); reason != "" {
			return nil, fmt.Errorf("bad call %s %s: %s", pattern.Method, pattern.Path, reason)
		}
		patterns = append(patterns, pattern)
	}
	return patterns, nil
}

// check returns the reason why the pattern is invalid, or "" if it is valid.
func (p CallPattern) check() string {
	if p.Method == "" || strings.Trim(p.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return "a method has capital letters only"
	}
	if len(p.Path) > MaxPathLength {
		return fmt.Sprintf("path longer than %d characters", MaxPathLength)
	}
	if !strings.HasPrefix(p.Path, "/") {
		return "a path starts with /"
	}
	if candidates := canonicalPaths(p.Path); len(candidates) != 1 || candidates[0] != p.Path {
		return "write the path in its plain form, without //, /./, /../, escapes, ;, ?, # or a / at the end"
	}
	return ""
}
